"""Escaping of untrusted text for terminal output."""

__all__ = ["escape_line"]


def escape_line(text: str) -> str:
    r"""Return text with non-printable characters escaped.

    Names and authors come from files and published records; line breaks and terminal
    escape sequences in them must not pass for output of the program.

    Examples
    --------
    >>> escape_line("ann\n\x1b[2J")
    'ann\\n\\x1b[2J'
    """
    if text.isprintable():
        return text
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode()
        for character in text
    )
