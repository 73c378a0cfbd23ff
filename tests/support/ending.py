"""Targets that end and are back later, as another process."""

import asyncio
import itertools

from celeryturn.decisions.targets.directory import find_replica
from standins.shard_target import ShardTarget
from tests.support.routed import ADDRESS, RoutedWorld

RETURN_SECONDS = 0.05


class EndingTargets:
    """Targets of a world that end and are back later.

    :param world: The world.
    :param ended: Identifiers of the targets that ended, in order.
    :param incarnations: Start time of the present process of each target that
        ended.
    :param is_renamed: Whether targets are back under another identifier.
    """

    def __init__(self, world: RoutedWorld) -> None:
        self.world = world
        self.is_renamed = False
        self.ended: list[str] = []
        self.incarnations: dict[str, int] = {}
        self._start_times = itertools.count(1)
        self._ports = {
            identifier: target.port
            for identifier, target in world.targets.items()
        }
        self._returning: dict[str, asyncio.Task[None]] = {}
        for target in world.targets.values():
            target.on_ended = self._on_ended

    async def end(self, identifier: str) -> None:
        """End a target, whatever it runs; it is back later.

        :param identifier: Identifier of the target.
        """
        target = self.world.targets[identifier]
        await target.stop()
        self._on_ended(target)

    async def wait_for_return(self) -> None:
        """Wait until all targets are back and each instance lists them."""
        await self.world.wait_for(lambda: not self._returning)
        await self.world.wait_for(self._is_listed_everywhere)

    def _on_ended(self, target: ShardTarget) -> None:
        identifier = target.identifier
        if identifier in self._returning:
            return
        self.ended.append(identifier)
        task = asyncio.get_running_loop().create_task(self._return(target))
        self._returning[identifier] = task
        task.add_done_callback(lambda _done: self._returning.pop(identifier))

    async def _return(self, target: ShardTarget) -> None:
        await asyncio.sleep(RETURN_SECONDS)
        identifier = target.identifier
        await target.start(ADDRESS, self._ports[identifier])
        if self.is_renamed:
            self._rename(target)
        born_ms = next(self._start_times)
        self.incarnations[target.identifier] = born_ms
        service, _, _ = identifier.rpartition('-')
        self.world.list_target(target.identifier, service, born=born_ms)

    def _rename(self, target: ShardTarget) -> None:
        former = target.identifier
        target.identifier = f'{former}1'
        self._ports[target.identifier] = self._ports[former]
        self.world.targets[target.identifier] = self.world.targets.pop(former)
        self.world.store.delete(f'servers/{former}')
        self.incarnations.pop(former, None)

    def _is_listed_everywhere(self) -> bool:
        return all(
            self._lists_latest(identifier, born_ms)
            for identifier, born_ms in self.incarnations.items()
        )

    def _lists_latest(self, identifier: str, born_ms: int) -> bool:
        replicas = [
            find_replica(application.shared.directory, identifier)
            for application in self.world.applications
        ]
        return all(
            replica is not None and replica.entry.born_ms == born_ms
            for replica in replicas
        )
