"""TLS certificate of the caller server, replaced without a restart."""

import asyncio
import pathlib
import ssl

import loguru

#: Seconds between checks whether the files were replaced.
CHECK_INTERVAL_S = 10.0


class Certificate:
    """Certificate and key files behind one TLS context.

    Explanation
    ===========

    New connections use the certificate that was loaded last; open ones keep
    theirs, so a rotation closes no connection.  If certificate and key do
    not match, this is logged and the certificate in use stays.

    Raises
    ======

    ssl.SSLError, OSError
        The files can't be used at start.

    """

    def __init__(self, certificate: pathlib.Path, key: pathlib.Path):
        self._files = (certificate, key)
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.context.load_cert_chain(*self._files)
        self._loaded = self._state()

    def _state(self) -> tuple[tuple[int, int], ...]:
        stats = [path.stat() for path in self._files]
        return tuple((each.st_mtime_ns, each.st_ino) for each in stats)

    def reload(self) -> bool:
        """Load the files again if they changed; return whether it worked."""
        try:
            state = self._state()
            if state == self._loaded:
                return True
            # A scratch context, because a failed load would leave the one
            # in use with a certificate and a key that do not match.
            scratch = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            scratch.load_cert_chain(*self._files)
            self.context.load_cert_chain(*self._files)
        except (OSError, ssl.SSLError) as error:
            reason = str(error).replace('"', "'")
            loguru.logger.error(
                'event=certificate_invalid file={} error="{}"',
                self._files[0].name,
                reason,
            )
            return False
        self._loaded = state
        loguru.logger.info(
            "event=certificate_loaded file={}", self._files[0].name
        )
        return True

    async def follow(self) -> None:
        """Reload the files whenever they change."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.reload()
