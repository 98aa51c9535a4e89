import logging
import os
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

# Broken answers are what many tests are about.
logging.getLogger("urllib3").setLevel(logging.ERROR)
logging.getLogger("thrift").setLevel(logging.CRITICAL)
