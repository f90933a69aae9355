import pytest

from tests.bench.builders import PROFILE, Recorder, make_request

HASHES = (11, 12, 13, 14)


def test_single_job_takes_prefill_plus_decode_steps():
    recorder = Recorder()
    recorder.upstream.submit("a", make_request(), 5.0)
    recorder.upstream.advance(100.0)
    assert recorder.first_by_id["a"] == pytest.approx(6.0)
    assert recorder.finished_by_id["a"] == pytest.approx(6.0 + 100 * 0.025)


def test_full_batch_decodes_at_its_step_time():
    recorder = Recorder()
    for name in "abcd":
        recorder.upstream.submit(name, make_request(prompt=1, output=1001), 0.0)
    recorder.upstream.advance(1000.0)
    last = max(recorder.finished_by_id.values())
    assert last == pytest.approx(1000 * PROFILE.step(4), rel=0.01)


def test_job_beyond_the_slots_waits_for_the_first_to_end():
    recorder = Recorder()
    for name in "abcde":
        recorder.upstream.submit(name, make_request(prompt=100), 0.0)
    assert (recorder.upstream.running, recorder.upstream.waiting) == (4, 1)
    recorder.upstream.advance(1000.0)
    assert recorder.first_by_id["e"] > min(recorder.finished_by_id.values())


def test_job_waits_for_memory():
    recorder = Recorder()
    recorder.upstream.submit("a", make_request(prompt=6000), 0.0)
    recorder.upstream.submit("b", make_request(prompt=6000), 0.0)
    assert recorder.upstream.waiting == 1
    recorder.upstream.advance(1000.0)
    assert set(recorder.finished_by_id) == {"a", "b"}


def test_prefix_is_cached_for_the_next_job_only():
    recorder = Recorder()
    first = recorder.upstream.submit("a", make_request(hashes=HASHES), 0.0)
    recorder.upstream.advance(10.0)
    second = recorder.upstream.submit("b", make_request(hashes=HASHES), 10.0)
    recorder.upstream.advance(20.0)
    assert (first.cached, first.computed) == (0, 1000)
    assert (second.cached, second.computed) == (512, 488)
    assert recorder.first_by_id["b"] == pytest.approx(10.488)


def test_cache_evicts_the_least_recently_used():
    recorder = Recorder()
    for number in range(20):
        hashes = tuple(100 * number + level for level in range(4))
        recorder.upstream.submit(
            str(number), make_request(hashes=hashes), 20.0 * number
        )
        recorder.upstream.advance(20.0 * number + 19)
    cache = recorder.upstream.cache
    assert cache.cached_tokens((0, 1, 2, 3)) == 0
    assert cache.cached_tokens((1900, 1901, 1902, 1903)) == 512
    stored = sum(change.stored for change in cache.changes)
    assert stored - (len(cache.changes) - stored) == 4096 // 512 * 4


def test_cancelled_prefill_counts_the_computed_tokens():
    recorder = Recorder()
    job = recorder.upstream.submit("a", make_request(), 0.0)
    recorder.upstream.cancel("a", 0.25)
    assert job.computed == pytest.approx(250)
    assert (recorder.upstream.running, recorder.upstream.kv_used) == (0, 0)


def test_cancelled_decoding_frees_memory_and_never_finishes():
    recorder = Recorder()
    recorder.upstream.submit("a", make_request(), 0.0)
    recorder.upstream.cancel("a", 2.0)
    recorder.upstream.advance(100.0)
    assert recorder.finished_by_id == {}
    assert recorder.upstream.kv_used == 0


def test_fifth_of_the_speed_takes_five_times_as_long():
    recorder = Recorder()
    recorder.upstream.set_speed(0.2, 0.0)
    recorder.upstream.submit("a", make_request(), 0.0)
    recorder.upstream.advance(100.0)
    assert recorder.finished_by_id["a"] == pytest.approx(5 * 3.5)


def test_plain_service_continues_after_a_cancel():
    profile = PROFILE._replace(plain=True, step_per_sequence=0.0)
    recorder = Recorder(profile)
    recorder.upstream.submit("a", make_request(output=100), 0.0)
    recorder.upstream.cancel("a", 1.0)
    assert recorder.upstream.running == 1
    recorder.upstream.advance(100.0)
    assert recorder.finished_by_id["a"] == pytest.approx(2.0)
