"""A settings file that may change while the process runs."""

from __future__ import annotations

from collections.abc import Callable

from knapweedhitch.exceptions import SettingsError
from knapweedhitch.settings import Settings, check_regular, read_text

Parser = Callable[[str, str], Settings]


class SettingsFile:
    """Read one settings file and track whether its content has changed."""

    def __init__(self, path: str, parse: Parser) -> None:
        self._path = path
        self._parse = parse
        # None while the file cannot be read.
        self._text: str | None = None

    def read(self) -> Settings:
        """Return the validated settings; raises SettingsError."""
        self._text = None
        self._text = read_text(self._path)
        try:
            return self._parse(self._text, self._path)
        except SettingsError:
            raise
        except Exception as exc:
            # A reload must not end the process, whatever its file holds.
            raise SettingsError(self._path, f"cannot be parsed: {exc!r:.200}") from exc

    def reload(self) -> Settings:
        """Return the validated settings of a regular file; raises SettingsError."""
        self._text = None
        check_regular(self._path)
        return self.read()

    def has_changed(self) -> bool:
        """Return whether the content is other than at the last read."""
        # The time of modification would not do: two changes may share one, and clocks may jump.
        try:
            check_regular(self._path)
            return read_text(self._path) != self._text
        except SettingsError:
            return self._text is not None
