"""Keys and permissions, looked up in the newest configuration."""

from collections.abc import Callable

from gooseberrydeck_configuration.exceptions import KeyMissingError, KeyUnknownError
from gooseberrydeck_configuration.keys import Authenticator, KeyTable
from gooseberrydeck_configuration.objects import Configuration, Queue, Service
from gooseberrydeck_coordination.ids import QueueName, ServiceName, TeamName
from gooseberrydeck_daemon.views import ConfigurationView

__all__ = ["AccessIndex"]


class Tables:
    """One configuration, by name and by hash of key."""

    def __init__(self, configuration: Configuration) -> None:
        """Index ``configuration``."""
        self.configuration = configuration
        self.keys = KeyTable(configuration)
        self.services = {item.name: item for item in configuration.services}
        self.queues = {item.name: item for item in configuration.queues}


class AccessIndex:
    """Answer questions of the request path about the newest configuration."""

    def __init__(
        self, view: ConfigurationView, is_fresh: Callable[[], bool] = lambda: True
    ) -> None:
        """Follow ``view``; keys are judged only while ``is_fresh`` holds."""
        self.view = view
        self.cached = Tables(view.current)
        self.authenticator = Authenticator(is_fresh, lambda: self.tables().keys)

    def tables(self) -> Tables:
        """Return the tables of the newest configuration."""
        current = self.view.current
        cached = self.cached
        if cached.configuration is not current:
            cached = self.cached = Tables(current)
        return cached

    def team_of_key(self, secret: str) -> TeamName | None:
        """Return the team of a key, or None if the key is not known.

        Raise ``ConfigurationStaleError`` while that cannot be told.
        """
        try:
            return self.authenticator.authenticate(secret).team
        except (KeyMissingError, KeyUnknownError):
            return None

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self.tables().services.get(ServiceName(name))

    def queue(self, name: str) -> Queue | None:
        """Return a queue by name."""
        return self.tables().queues.get(QueueName(name))
