"""A number in a head of a replica ends the process that reads it.

Replicas hand out wrong bytes for some seconds: in a few of their responses the time in `Keep-Alive` is a number that no
idle timeout has. Trainers and callers go on as before.
"""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib2"))
from stand import *  # noqa: E402,F403

# `garble`: share .5 of the replicas spoil x .02 of their answers, here for 5 s at a time.
SPOILING, ONE_OF, WINDOW_S = 0.5, 50, 5.0
WINDOWS = [10.0, 25.0, 40.0, 55.0]
LENGTH_S = 66.0
SPOILT = {"Keep-Alive": "timeout=9223372036854775807"}
SOUND = {"Keep-Alive": "timeout=15"}


class Spoiling:
    """Which responses are spoilt: every fiftieth of those replicas that spoil any, during a window."""

    def __init__(self):
        self.since, self.answers, self.spoilt = time.monotonic(), 0, 0

    def next(self, replica):
        now = time.monotonic() - self.since
        if not TROUBLE or not replica.spoils or not any(at <= now < at + WINDOW_S for at in WINDOWS):
            return SOUND
        self.answers += 1
        if self.answers % ONE_OF:
            return SOUND
        self.spoilt += 1
        replica.stand.record(f"{replica.id} spoils a response")
        return SPOILT


def case(make):
    stand = make(gateways=6)
    spoiling = Spoiling()

    class App(Replica):
        spoils = False

        async def run(self, writer, method, target, headers, body):
            await asyncio.sleep(0.025)
            return await self.plain(writer, headers, spoiling.next(self))

    class Engine(Replica):
        spoils = False

        async def run(self, writer, method, target, headers, body):
            return await self.stream(writer, headers, 18, 0.03, spoiling.next(self))

    for n in range(3):
        App(stand, n, "booking-portal")
    for n in range(3, 12):
        Engine(stand, n, "planner-lm", models=("m0", "m1"))
    half = int(len(stand.replicas) * SPOILING)
    for replica in random.sample(stand.replicas, half):
        replica.spoils = True
    routes = [safe_route("r0", "/slot/", "booking-portal"), rollout_route("r1", "/rollout/", "planner-lm")]
    stand.put_config(routes, [service("booking-portal"), service("planner-lm", True, ("m0", "m1"))])
    stand.wait_ready()
    time.sleep(3)
    spoiling.since = time.monotonic()
    end = spoiling.since + LENGTH_S
    answered, unanswered, steps = [], [], []

    def ask(number):
        """Callers: 6 requests a second in all, as on the site."""
        while time.monotonic() < end:
            headers = {"Host": HOST, "X-Attempt-Id": attempt_id(), "X-Deadline-Ms": "800"}
            try:
                call(stand.callers(number), "POST", "/slot/1", b"x", headers, 1.0)
                answered.append(headers["X-Attempt-Id"])
            except OSError as e:
                unanswered.append(headers["X-Attempt-Id"])
                stand.record(f"request {headers['X-Attempt-Id']} at gateway-{number}: no response ({e})")
            time.sleep(1.0)

    def train(model):
        """A trainer: a batch of 7 groups of 8 items each 4 s."""
        n = 0
        while time.monotonic() < end:
            begun, batch_id = time.monotonic(), attempt_id()
            body = json.dumps(batch(model, [item("/rollout/", i, model) for i in range(56)]))
            while time.monotonic() < begun + 8 and submit(stand, n % 6, batch_id, body) != 202:
                n += 1
                time.sleep(0.2)
            results = read_all(stand, batch_id, 12 - (time.monotonic() - begun))
            steps.append(len(results))
            try:
                call(stand.callers(n % 6), "DELETE", f"/v1/lots/{batch_id}", None, {"Host": HOST}, 3.0)
            except OSError:
                pass
            time.sleep(max(0.0, begun + 4 - time.monotonic()))

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(6)]
    threads += [threading.Thread(target=train, args=(model,)) for model in ("m0", "m1")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ends = ends_by_themselves(stand)
    stand.record(f"ends by themselves: {ends}")
    print(f"responses spoilt: {spoiling.spoilt}; ends by themselves: {ends}; "
          f"requests answered: {len(answered)}, without a response: {len(unanswered)}; items read of 56, by step: {steps}")
    return not is_fault(stand)


main(FOLDER, case)
