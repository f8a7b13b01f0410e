#pragma once

// Criterion defines macros that break Boost headers included after it, so
// every test includes this header last.
//
// Criterion runs each test in a process whose memory it maps at fixed
// addresses. ThreadSanitizer keeps its own state there, and the process crashes
// in libcriterion before the first test. The tsan build therefore runs the same
// tests in one process, one after another.
#ifdef REDWINGGW_TESTS_IN_PROCESS
#include "in_process_test.hpp"
#else
#include <criterion/criterion.h>
#endif
