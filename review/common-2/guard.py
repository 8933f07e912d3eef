"""Runs a case so that the processes that it started end with it, also when it is interrupted or killed."""
import ctypes
import os
import signal
import subprocess
import sys

import stand_in

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)
START = subprocess.Popen


def start(*arguments, **options):
    """Starts a process that the system ends when this script has ended, however that was."""
    script = os.getpid()

    def bind():
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != script:
            os._exit(1)

    return START(*arguments, preexec_fn=bind, **options)


def interrupt(*_):
    """Ends the case as an interrupt does, which kills the machines and removes their folder."""
    signal.raise_signal(signal.SIGINT)


def main(case, run):
    """Like `stand_in.main`; an interrupted case exits with 2."""
    stand_in.subprocess.Popen = start
    # A shell starts background jobs with this signal ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, interrupt)
    signal.signal(signal.SIGHUP, interrupt)
    try:
        stand_in.main(case, run)
    except KeyboardInterrupt:
        print('interrupted')
        sys.exit(stand_in.NOT_RUN)
