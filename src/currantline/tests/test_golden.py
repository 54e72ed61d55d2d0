"""Test of the golden session."""

from currantline.standin.golden import PATH, record_session


class TestGoldenSession:
    """Responses and audit events of a scripted session."""

    def test_same_as_committed(self) -> None:
        """Guards against unintended changes of behaviour or of ordering.

        `currantline.standin.golden` describes how to regenerate the file.
        """
        assert record_session() == PATH.read_text(encoding="utf-8")
