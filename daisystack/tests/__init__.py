import logging
import os
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

# Many tests cause broken responses on purpose, which these libraries would log.
logging.getLogger("urllib3").setLevel(logging.ERROR)
logging.getLogger("thrift").setLevel(logging.CRITICAL)
