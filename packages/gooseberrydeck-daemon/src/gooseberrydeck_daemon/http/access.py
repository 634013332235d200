"""Lookup of keys, services and queues in the newest configuration."""

from collections.abc import Callable

from gooseberrydeck_configuration.exceptions import KeyMissingError, KeyUnknownError
from gooseberrydeck_configuration.keys import Authenticator, KeyTable
from gooseberrydeck_configuration.objects import Configuration, Queue, Service
from gooseberrydeck_coordination.ids import QueueName, ServiceName, TeamName
from gooseberrydeck_daemon.views import ConfigurationView

__all__ = ["AccessIndex"]


class ConfigurationIndex:
    """Index of one configuration by object name and by hash of the key."""

    def __init__(self, configuration: Configuration) -> None:
        """Build the lookup tables of ``configuration``."""
        self.configuration = configuration
        self.keys = KeyTable(configuration)
        self.services = {item.name: item for item in configuration.services}
        self.queues = {item.name: item for item in configuration.queues}


class AccessIndex:
    """Look up keys, services and queues of the newest configuration.

    The index is rebuilt when the view has a newer configuration.
    """

    def __init__(
        self, view: ConfigurationView, is_fresh: Callable[[], bool] = lambda: True
    ) -> None:
        """Read from ``view``; authenticate only while ``is_fresh`` returns True."""
        self.view = view
        self.cached_index = ConfigurationIndex(view.current)
        self.authenticator = Authenticator(is_fresh, lambda: self.index().keys)

    def index(self) -> ConfigurationIndex:
        """Return the index of the newest configuration."""
        current = self.view.current
        cached_index = self.cached_index
        if cached_index.configuration is not current:
            cached_index = self.cached_index = ConfigurationIndex(current)
        return cached_index

    def team_of_key(self, secret: str) -> TeamName | None:
        """Return the team that owns a key, or None if the key is unknown.

        Raise ``ConfigurationStaleError`` if the configuration is not fresh.
        """
        try:
            return self.authenticator.authenticate(secret).team
        except (KeyMissingError, KeyUnknownError):
            return None

    def service(self, name: str) -> Service | None:
        """Return the service of that name, or None."""
        return self.index().services.get(ServiceName(name))

    def queue(self, name: str) -> Queue | None:
        """Return the queue of that name, or None."""
        return self.index().queues.get(QueueName(name))
