"""The estimated queue of an instance: one job at a time, by priority, without preemption, corrected by observations."""

from __future__ import annotations

from random import Random

from hophinge.fleet.placement.queue import MAX_REPORT_AGE_US, MIN_SAMPLE_US, WorkQueue


def test_jobs_are_executed_in_order() -> None:
    queue = WorkQueue()
    assert queue.start_at_us(5.0, 0) == 5.0
    queue.add(5.0, 2, 100.0)
    queue.add(6.0, 2, 50.0)
    assert queue.start_at_us(7.0, 2) == 155.0
    assert queue.start_at_us(200.0, 2) == 200.0


def test_an_urgent_job_waits_only_for_the_running_one() -> None:
    queue = WorkQueue()
    queue.add(0.0, 8, 100.0)
    queue.add(1.0, 5, 300.0)
    assert queue.start_at_us(2.0, 0) == 100.0
    assert queue.start_at_us(2.0, 5) == 400.0


def test_a_job_at_an_idle_instance_has_started() -> None:
    queue = WorkQueue()
    queue.add(0.0, 0, 10.0)
    queue.add(50.0, 8, 1_000.0)
    assert queue.start_at_us(60.0, 0) == 1_050.0


def test_a_dropped_job_is_not_waited_for() -> None:
    queue = WorkQueue()
    queue.add(0.0, 0, 100.0)
    job = queue.add(0.0, 0, 100.0)
    queue.drop(job)
    queue.drop(job)
    assert queue.start_at_us(0.0, 0) == 100.0


def test_an_early_end_finishes_the_jobs_before_it() -> None:
    queue = WorkQueue()
    queue.add(0.0, 0, 1_000.0)
    job = queue.add(0.0, 0, 1_000.0)
    queue.add(0.0, 0, 500.0)
    assert queue.service_us(job, 300.0) == MIN_SAMPLE_US
    queue.finish(300.0, job, 300.0)
    assert queue.start_at_us(300.0, 0) == 800.0


def test_a_late_end_delays_the_jobs_behind_it() -> None:
    queue = WorkQueue()
    job = queue.add(0.0, 0, 100.0)
    queue.add(0.0, 0, 200.0)
    assert queue.service_us(job, 1_000.0) == 1_000.0
    queue.finish(1_000.0, job, 1_000.0)
    assert queue.start_at_us(1_000.0, 0) == 1_200.0


def test_a_report_shortens_or_fills_the_queue() -> None:
    queue = WorkQueue()
    for _ in range(6):
        queue.add(0.0, 0, 10_000_000.0)
    now = 2 * MAX_REPORT_AGE_US
    queue.apply_queue_length(now, 1, 7.0)
    assert len(queue.queued) == 2
    queue.apply_queue_length(now, 8, 7.0)
    assert len(queue.queued) == 7


def test_a_report_does_not_count_recent_placements() -> None:
    queue = WorkQueue()
    for _ in range(4):
        queue.add(0.0, 0, 10_000_000.0)
    queue.apply_queue_length(MAX_REPORT_AGE_US / 2, 0, 7.0)
    assert len(queue.queued) == 3


def test_the_queue_stays_sorted_and_time_advances_for_any_input() -> None:
    for seed in range(200):
        random, queue, now, jobs = Random(seed), WorkQueue(), 0.0, []
        for _ in range(100):
            now += random.expovariate(1 / 50)
            match random.randrange(5):
                case 0 | 1:
                    jobs.append(queue.add(now, random.randrange(10), random.expovariate(1 / 80)))
                case 2 if jobs:
                    queue.finish(now, random.choice(jobs), now - 3.0)
                case 3 if jobs:
                    queue.drop(random.choice(jobs))
                case _:
                    queue.apply_queue_length(now, random.randrange(5), 40.0)
            priorities = [job.priority for job in queue.queued]
            assert priorities == sorted(priorities), seed
            assert all(queue.start_at_us(now, level) <= queue.start_at_us(now, level + 1) for level in range(9)), seed
            assert queue.start_at_us(now, 0) >= now, seed


def test_the_service_time_of_a_job_counts_from_the_end_of_the_previous_job() -> None:
    queue = WorkQueue()
    first = queue.add(0.0, 0, 5_000.0, 1, 100.0)
    second = queue.add(1_000.0, 0, 5_000.0, 2, 100.0)
    later = queue.add(90_000.0, 0, 5_000.0, 3, 100.0)
    assert queue.find(2) is second
    assert queue.find(9) is None
    assert queue.service_us(first, 8_000.0) == 8_000.0
    queue.finish(95_000.0, first, 8_000.0)
    assert queue.service_us(second, 20_000.0) == 12_000.0
    queue.finish(95_000.0, second, 20_000.0)
    assert queue.service_us(later, 97_000.0) == 7_000.0
    queue.finish(97_000.0, later, 97_000.0)
