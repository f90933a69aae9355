"""Which service and which of its software versions began a stream.

What two versions generate doesn't fit together, and upstreams don't check it. The host
that relays the first event of a stream remembers its version and tells control hosts;
a host that a caller asks for the rest of the stream finds it there.
"""

from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.stream_versions.candidates import StreamCandidates
from bitterntiller.components.stream_versions.coordinator import (
    StreamVersionCoordinator,
)
from bitterntiller.components.stream_versions.finder import StreamFinder
from bitterntiller.components.stream_versions.holder import StreamHolder
from bitterntiller.components.stream_versions.leader_query import LeaderQuery
from bitterntiller.components.stream_versions.memory import StreamMemory
from bitterntiller.components.stream_versions.recorder import StreamRecorder
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


async def async_setup(
    runtime: Runtime, session: NodeCoordinator
) -> StreamVersionCoordinator:
    """Set up the part on any host; it unloads with the runtime's stack."""
    memory = StreamMemory(runtime.clock.now())
    holder = StreamHolder(memory, runtime.clock)
    for cls, handler in (
        (messages.BegunStreams, holder.async_on_begun),
        (messages.FindStream, holder.async_on_find),
    ):
        runtime.stack.callback(runtime.links.handle(cls, handler))
    candidates = StreamCandidates(session.config, session.upstreams)
    query = LeaderQuery(runtime.clock, session.control_client, candidates)
    recorder = StreamRecorder(runtime, memory, session.directory, candidates, query)
    finder = StreamFinder(runtime, memory, session.directory, query)
    await runtime.async_spawn(recorder.async_run())
    coordinator = StreamVersionCoordinator(memory, recorder, finder)
    runtime.add_diagnostics("stream_versions", coordinator.describe)
    return coordinator
