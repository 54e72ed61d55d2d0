"""Test of the golden session."""

from currantline.standin.golden import PATH, record_session


class TestGoldenSession:
    """Outcomes, headers, audit events and views of a scripted session."""

    def test_same_as_committed(self) -> None:
        """Guards against a change of behaviour, or of order, that nobody intended.

        `currantline.standin.golden` says how the file is rewritten.
        """
        assert record_session() == PATH.read_text(encoding="utf-8")
