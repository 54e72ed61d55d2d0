"""Text of foreign origin on one line of a terminal."""

__all__ = ["escape_line"]


def escape_line(text: str) -> str:
    r"""Return text with each character that cannot be printed as its escape.

    Names and authors come from files and published records; line breaks and
    escape sequences in them must not look like output of the program.

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
