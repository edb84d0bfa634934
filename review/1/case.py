"""All core machines are replaced, one after the other, as planned work."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import platform  # noqa: E402

# Above catchUpS (4 s): a successor has had that time when the old machine goes.
CATCH_UP_S = 5.0
READ_S = 20.0


async def scenario(deployment, has_trouble):
    async def serve(run, writer):
        await platform.answer_plain(run, writer, b'x' * 800)

    server = platform.Server(
        deployment, 'wuno96b', 200, deployment.internal + 8, 'rajkot', serve
    )
    await server.start()
    operator = platform.Operator(deployment)
    config = platform.make_config(
        3, ['wuno96b'],
        [platform.make_route('r-1', '/pufi791/', 'idempotent', 'wuno96b')],
    )
    await operator.publish(config)
    await deployment.wait_ready()
    await asyncio.sleep(3)

    async def ask(when):
        client = platform.Client(deployment, deployment.edges[0])
        answer = await client.request('GET', f'/pufi791/{when}')
        client.close()
        return answer.status

    if await ask('before') != 200:
        raise platform.CannotRunError('not served')
    for old in list(deployment.cores):
        if has_trouble:
            deployment.add_core(old.zone)
        await asyncio.sleep(CATCH_UP_S)
        if has_trouble:
            await deployment.remove(old)
    await operator_pause(deployment)
    version = await operator.read(READ_S)
    status = await ask('after')
    deployment.record(f'read back: version {version}; a request got {status}')
    if version is None:
        return (
            'the configuration (version 3 was acknowledged) does not come; a'
            f' request got {status}'
        )
    return ''


async def operator_pause(deployment):
    """Let the last successor have its time, and contactMs pass."""
    await asyncio.sleep(CATCH_UP_S + deployment.bounds['contactMs'] / 1000)


sys.exit(platform.main(pathlib.Path(__file__).parent, scenario))
