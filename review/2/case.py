"""The host that places requests freezes while another host is killed and
starts again."""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "stand"))
import small_site as stand  # noqa: E402

STABLE_S = stand.BOUNDS["StableWindowMs"] / 1000
ROUNDS = 5
FIRST = ["stops", "depots", "routes", "menus", "drivers", "crates"]
REQUESTS = 16
FREEZE_S = 1.85
BUSY_S = 3.5


async def handle(engine, request, writer):
    service = request.target.split("/")[1]
    if service != engine.service:
        engine.site.wrong.append((request.id, engine.name))
        engine.site.record("WRONG SERVICE:", engine.service, "engine",
                           engine.name, "runs", request.id, request.target)
    await asyncio.sleep(BUSY_S if "busy" in request.target else 0.01)
    engine.reply(writer, request, 200, b"x" * 800)


async def holder_of(host, service):
    """The host that places the service's requests, as a host tells."""
    reader, writer = await asyncio.open_connection(host.ip, 9464)
    writer.write(b"GET /dump HTTP/1.1\r\nHost: h\r\n\r\n")
    _, headers = await stand.read_head(reader)
    state = json.loads(await stand.read_body(reader, headers))
    writer.close()
    return state["services"][service]["holder"]


def send_all(site, host, paths, deadline_ms):
    return [asyncio.create_task(stand.Connection(site, host.front).send(
        "POST", path, deadline_ms=deadline_ms)) for path in paths]


async def play_round(site, number, first, holder, killed, other):
    """`killed` has just started. It takes a few requests, is killed while
    `holder` stands still, and takes a few others after its next start."""
    # All slots of the second service are taken for a while.
    busy = send_all(site, other, [f"/orders/busy-{number}-{i}"
                                  for i in range(4)], 9000)
    await asyncio.sleep(0.1)
    for _ in range(3):
        await asyncio.gather(*send_all(site, other, [f"/{first}/a"], 2000))
    frozen_at = time.monotonic()
    if stand.is_troubled():
        holder.send_signal(signal.SIGSTOP)
    early = send_all(site, killed, [f"/{first}/{number}-{i}"
                                    for i in range(REQUESTS)], 2000)
    await asyncio.sleep(0.08)
    if stand.is_troubled():
        await restart(site, killed)
    await asyncio.gather(*early)
    # The host hears from the others before it gets requests.
    await asyncio.sleep(0.4)
    late = send_all(site, killed, [f"/orders/{number}-{i}"
                                   for i in range(REQUESTS)], 9000)
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if stand.is_troubled():
        holder.send_signal(signal.SIGCONT)
    await asyncio.gather(*busy, *late)


async def restart(site, host):
    host.send_signal(signal.SIGKILL)
    host.process.wait()
    await asyncio.sleep(0.2)
    host.start()
    while not await host.is_ready():
        await asyncio.sleep(0.02)


async def case(site):
    site.wrong = []
    services = [*FIRST, "orders"]
    for service in services:
        for i in range(2):
            await site.add_engine(service, f"{service}-{i}", handle,
                                  slots=2 if service == "orders" else 16)
    site.store.put("config", "main", stand.config(
        5, [stand.route(service, f"/{service}/", "unsafe", service,
                        TargetLatencyMs=3000) for service in services],
        [stand.plain_service(service) for service in services]))
    await site.start_hosts()
    await asyncio.sleep(STABLE_S + 1)
    holders = {service: await holder_of(site.hosts[0], service)
               for service in services}
    site.record("who places requests:", holders)
    # One whose requests are placed by another host than the orders.
    first = next(s for s in FIRST if holders[s] != holders["orders"])
    holder, other = (next(h for h in site.hosts if h.name == holders[service])
                     for service in (first, "orders"))
    killed = next(h for h in site.hosts if h not in (holder, other))
    for number in range(ROUNDS):
        if number > 0:
            await restart(site, killed)
            await asyncio.sleep(STABLE_S)
        await play_round(site, number, first, holder, killed, other)
        if site.wrong:
            break
    site.record("requests that an engine of the wrong service ran:",
                len(site.wrong))
    return bool(site.wrong)


stand.play(case, __file__)
