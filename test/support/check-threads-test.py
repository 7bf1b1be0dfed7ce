"""Tests of support/check-threads: which reports of the thread sanitizer count."""
import unittest

import scripts

check_threads = scripts.load("check-threads")

DELETE = "    #0 operator delete(void*, unsigned long) ../src/libsanitizer/tsan/tsan_new_delete.cpp:150 (libtsan.so.2)\n"
CAF_QUEUE = "    #1 caf::scheduler::worker<caf::policy::work_stealing>::run() <null> (libcaf_core.so.0.17.6)\n"
OWN = "    #1 example::Book::Add(std::function<caf::actor ()>) src/node/book.cc:30 (book-test)\n"
TEMPLATE = "    #0 void example::Send<caf::actor>(caf::actor const&) src/node/book.cc:40 (book-test)\n"
ANONYMOUS = "    #0 (anonymous namespace)::Add(caf::actor) src/node/book.cc:50 (book-test)\n"
CONTAINER = "    #0 std::vector<caf::actor, std::allocator<caf::actor> >::clear() stl_vector.h:10 (book-test)\n"
CONTAINER_IN_CAF = CONTAINER.replace("stl_vector.h:10 (book-test)", "<null> (libcaf_core.so.0.17.6)")
CAF_TEMPLATE = "    #0 decltype (auto) caf::visit<example::F&>(example::F&) /usr/include/caf/visit.hpp:9 (book-test)\n"


def report(first, second):
    return ("==================\nWARNING: ThreadSanitizer: data race (pid=1)\n"
            f"  Write of size 8 at 0x7b0400000000 by thread T2:\n{first}{CAF_QUEUE}\n"
            f"  Previous write of size 8 at 0x7b0400000000 by thread T1:\n{second}{CAF_QUEUE}\n"
            "  Location is heap block of size 8\n==================\n")


class Reports(unittest.TestCase):
    def test_each_report_of_a_log_is_found(self):
        self.assertEqual(len(check_threads.reports(report(OWN, OWN) + report(DELETE, OWN))), 2)
        self.assertEqual(check_threads.reports("ThreadSanitizer: reported 0 warnings\n"), [])

    def test_own_code_that_an_actor_calls_counts(self):
        self.assertFalse(check_threads.is_within_caf(report(OWN, OWN)))
        self.assertFalse(check_threads.is_within_caf(report(DELETE + OWN, OWN)))

    def test_own_code_that_names_a_type_of_caf_counts(self):
        for call in (TEMPLATE, ANONYMOUS, CONTAINER + OWN):
            self.assertFalse(check_threads.is_within_caf(report(call, call)), call)

    def test_queues_of_caf_do_not_count(self):
        self.assertTrue(check_threads.is_within_caf(report(DELETE, OWN)))
        self.assertTrue(check_threads.is_within_caf(report(OWN, DELETE)))
        self.assertTrue(check_threads.is_within_caf(report(CONTAINER, OWN)))
        self.assertTrue(check_threads.is_within_caf(report(CAF_TEMPLATE, OWN)))
        self.assertTrue(check_threads.is_within_caf(report(CONTAINER_IN_CAF + OWN, OWN)))


class TestsRun(unittest.TestCase):
    def test_a_test_that_could_not_run_does_not_count(self):
        results = ('<testsuite><testcase name="a" status="run"/><testcase name="b" status="fail"/>'
                   '<testcase name="c" status="notrun"/></testsuite>')
        self.assertEqual(check_threads.tests_run(results), 2)


if __name__ == "__main__":
    unittest.main()
