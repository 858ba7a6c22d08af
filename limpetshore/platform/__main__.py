"""Start a node on the platform."""

import os
import sys
from pathlib import Path

from limpetshore import log, node
from limpetshore.errors import SettingsError
from limpetshore.platform.integration import PlatformIntegration
from limpetshore.settings import load_settings

SETTINGS_VARIABLE = 'LIMPETSHORE_BOOT'
BAD_SETTINGS = 2


def main() -> int:
    """Run a node until it is told to stop; return the exit status."""
    try:
        settings = load_settings(Path(os.environ[SETTINGS_VARIABLE]))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return BAD_SETTINGS
    log.set_up(settings.log.level, settings.node.name)
    node.run(settings, PlatformIntegration(settings))
    return 0


sys.exit(main())
