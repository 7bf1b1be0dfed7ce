"""A route becomes public, and clients go on sending their keys.

Clients of two tenants send orders on a route that needs a key. A later
configuration sets `Public` on the route; the clients are told nothing of it and
go on as before. Each request that an engine runs bears the tenant that holds
the client's key in `X-Tenant`, or it doesn't.
"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))
import stand  # noqa: E402

PHASE_S = 4.0


async def case(site, trouble):
    site.tenants = [{"Name": f"tenant{n}", "ApiKeys": [f"key{n}"], "Priority": 1} for n in (1, 2)]
    site.add_service("app")
    site.routes.append(stand.route("confirm", "/confirm/", "unsafe", "app"))
    owner, wrong, runs = {}, [], [0]

    async def check(engine, request, writer):
        request_id, tenant = request.get("x-request-id"), request.get("x-tenant", "(none)")
        runs[0] += 1
        site.record.line("tenant", id=request_id, engine=engine.name, has=tenant,
                         owed=owner.get(request_id, "(nobody)"))
        if tenant != owner.get(request_id) or request.get("authorization"):
            wrong.append(request_id)

    for n in range(3):
        engine = await site.add_engine("app", f"i-{n}a7c")
        engine.on_run = check
    await site.put_config()
    await site.start(3)

    async def orders(number, until):
        client = stand.Client(site, site.hosts[number % 3].ip, key=f"key{number % 2 + 1}")
        while time.monotonic() < until:
            owner[f"{site.ids + 1:016x}"] = f"tenant{number % 2 + 1}"
            await client.call("POST", f"/confirm/{number:x}/2f", body=b"an order")
            await asyncio.sleep(0.1)
        client.close()

    async def traffic():
        until = time.monotonic() + PHASE_S
        await asyncio.gather(*[orders(n, until) for n in range(6)])

    await traffic()
    print(dict(phase="before", runs=runs[0], wrong=len(wrong)))
    if trouble:
        site.routes[0]["Public"] = True
        await site.put_config()
    await traffic()
    line = dict(runs=runs[0], wrong=len(wrong))
    site.record.line("result", **line)
    print(line)
    return not wrong


stand.run(case, HERE, trouble=os.environ.get("TROUBLE", "1") != "0")
