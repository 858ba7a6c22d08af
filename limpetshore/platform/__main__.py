"""Run a node on the platform with `python -m limpetshore.platform`.

The platform passes the path of the settings file in an environment variable.
"""

import os
import signal
import sys
from pathlib import Path

# Before the imports that take long: by default SIGHUP ends the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from limpetshore import log, node  # noqa: E402
from limpetshore.errors import SettingsError  # noqa: E402
from limpetshore.platform.integration import PlatformIntegration  # noqa: E402
from limpetshore.settings import load_settings  # noqa: E402

SETTINGS_PATH_VARIABLE = 'LIMPETSHORE_BOOT'
EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run a node until SIGTERM or SIGINT; return the exit status."""
    try:
        settings = load_settings(Path(os.environ[SETTINGS_PATH_VARIABLE]))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_BAD_SETTINGS
    log.set_up(settings.log.level, settings.node.name)
    node.run(settings, PlatformIntegration(settings))
    return 0


sys.exit(main())
