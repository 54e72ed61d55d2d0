"""Background tasks of an instance."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Tasks that run until the instance stops, or until one of them fails."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []
        self._has_failed = asyncio.Event()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    async def wait_for_failure(self) -> BaseException:
        """Wait until a task fails and return its exception."""
        await self._has_failed.wait()
        ended = [task for task in self._tasks if task.done() and not task.cancelled()]
        return next(error for task in ended if (error := task.exception()))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and task.exception() is not None:
            self._has_failed.set()
