"""Follows the store and applies its changes to the state of an instance."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import structlog

from yuccatally.forwarding import control
from yuccatally.forwarding import watches
from yuccatally.platform import documents
from yuccatally.store import client

if TYPE_CHECKING:
    from yuccatally.forwarding import fleet
    from yuccatally.forwarding import registration
    from yuccatally.forwarding import state
    from yuccatally.platform import store as platform_store

# Changes of many upstreams arrive with one call. During a release an entry
# changes every second, and upstreams that leave may be used for two more
# seconds.
UPSTREAM_BATCH_DELAY_S = 0.15

_log = structlog.get_logger()


class StoreSync:
    """Watches of the store and what follows from its losses and restores.

    Attributes:
        watches: Watches of the configuration, the upstreams and the plans.
        restored_revision: Revision at which the latest restore of the store
            became known; 0 without one.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        peers: fleet.Fleet,
        store: platform_store.PlatformStore,
        leader: control.Control,
        own_registration: registration.Registration,
    ) -> None:
        """Creates the watches and connects them with the other components.

        Args:
            instance_state: Shared state.
            peers: Other instances.
            store: The platform's store.
            leader: Control of the engines.
            own_registration: Entry of this instance.
        """
        self.state = instance_state
        self.fleet = peers
        self.store = store
        self.control = leader
        self.registration = own_registration
        self.restored_revision = 0
        self.watches = self._create_watches()

    def _create_watches(self) -> list[watches.KindWatch]:
        rng = self.state.rng
        configuration = watches.KindWatch(
            self.store,
            documents.CONFIGURATION_KIND,
            self._apply_configuration_list,
            self._apply_configuration,
            rng,
            on_connected=self._set_store_connected,
            on_restored=self._handle_restore,
        )
        upstreams = watches.KindWatch(
            self.store,
            documents.UPSTREAM_KIND,
            self._apply_upstream_list,
            self._apply_upstream,
            rng,
            batch_delay_s=UPSTREAM_BATCH_DELAY_S,
            on_restored=self._handle_restore,
        )
        plans = watches.KindWatch(
            self.store,
            control.PLAN_KIND,
            self.control.apply_plan_list,
            self.control.apply_stored_plan,
            rng,
        )
        self.fleet.configuration_watch = configuration
        self.fleet.upstream_watch = upstreams
        self.fleet.plans_watch = plans
        self.fleet.peer_sync.upstream_watch = upstreams
        self.fleet.peer_sync.on_restored = self._handle_restore
        self.control.on_store_failure = self._restart_watches
        self.store.on_epoch = self._restart_outdated_watches
        self.fleet.on_store_epoch = self._restart_outdated_watches
        self.fleet.on_peer_store_loss = lambda: configuration.restart(
            "a peer lost the store"
        )
        for watch in (configuration, upstreams, plans):
            watch.on_behind = self._reconnect
        for watch in (upstreams, plans):
            watch.primary = configuration

        def on_relayed(relayed: bool) -> None:
            for watch in (upstreams, plans):
                if relayed and not self.control.may_lead():
                    watch.pause()
                else:
                    watch.resume()

        self.fleet.on_relay_status = on_relayed
        return [configuration, upstreams, plans]

    def _set_store_connected(self, up: bool) -> None:
        self.state.store_connected = up

    def _handle_restore(self, revision: int) -> None:
        """Handles that the store was restored, once for each epoch.

        Args:
            revision: Revision of the restored store when this became known.
        """
        if not client.is_later_epoch(revision, self.restored_revision):
            return
        self.restored_revision = revision
        self.state.registry.begin_epoch(revision)
        self.fleet.record_restore()
        self.control.handle_restore()
        self.registration.handle_restore()

    def _apply_configuration_list(
        self,
        items: tuple[client.StoredObject, ...],
        outage: watches.Outage | None,
    ) -> None:
        for item in items:
            self._apply_configuration(item, outage)

    def _apply_configuration(
        self, item: client.StoredObject, outage: watches.Outage | None
    ) -> None:
        if item.name != documents.CONFIGURATION_NAME or item.deleted:
            return
        try:
            new_rules = documents.decode_rules(item.spec)
        except documents.FormatError as error:
            _log.error("configuration_rejected", reason=str(error))
            return
        self.state.apply_rules(new_rules, item.spec, "store")

    def _apply_upstream_list(
        self,
        items: tuple[client.StoredObject, ...],
        outage: watches.Outage | None,
    ) -> None:
        entries = [e for e in map(_decode_upstream, items) if e is not None]
        self.state.registry.replace(
            entries,
            self._rejoin_until(outage),
            self.fleet.upstream_watch.cursor,
        )

    def _apply_upstream(
        self, item: client.StoredObject, outage: watches.Outage | None
    ) -> None:
        registry = self.state.registry
        entry = None if item.deleted else _decode_upstream(item)
        if entry is None:
            registry.remove(
                item.name, self._rejoin_until(outage), item.revision
            )
        else:
            registry.apply_entry(entry)

    def _rejoin_until(self, outage: watches.Outage | None) -> float | None:
        """Returns until when expired entries may return; None for never."""
        if outage is None or self.fleet.peers_kept_store():
            return None
        return outage.rejoin_until

    def _restart_outdated_watches(self, epoch: int) -> None:
        """Restarts the watches that wait for changes of an earlier epoch."""
        self.fleet.store_epoch = max(epoch, self.fleet.store_epoch)
        for watch in self.watches:
            watch.restart_before(epoch)

    def _reconnect(self) -> None:
        """Treats the store as lost: what one watch lacks, others may lack."""
        for watch in self.watches:
            watch.reconnect("a peer is ahead")

    def _restart_watches(self) -> None:
        for watch in self.watches:
            watch.restart("another call failed")


def _decode_upstream(item: client.StoredObject) -> Any:
    try:
        decoded = documents.decode_upstream(item.name, item.spec)
    except documents.FormatError as error:
        _log.warning("entry_ignored", name=item.name, reason=str(error))
        return None
    return dataclasses.replace(decoded, revision=item.revision)
