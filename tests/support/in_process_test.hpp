#pragma once

#include <cstdlib>
#include <iostream>
#include <vector>

/// Criterion's `Test` and `cr_assert` for builds in which Criterion itself
/// cannot run; see criterion_test.hpp.
namespace redwinggw::testing {

struct test_case {
  const char *Name;
  void (*Run)();
};

inline std::vector<test_case> &testCases() {
  static std::vector<test_case> Cases;
  return Cases;
}

inline bool addTest(const char *Name, void (*Run)()) {
  testCases().push_back({Name, Run});
  return true;
}

inline void require(bool Holds, const char *Text, const char *File, int Line) {
  if (Holds)
    return;
  std::cerr << File << ":" << Line << ": failed: " << Text << "\n";
  std::abort();
}

} // namespace redwinggw::testing

#define Test(Suite, Name)                                                      \
  static void Suite##_##Name();                                                \
  static const bool Suite##_##Name##_added =                                   \
      redwinggw::testing::addTest(#Suite "::" #Name, &Suite##_##Name);         \
  static void Suite##_##Name()

#define cr_assert(Condition, ...)                                              \
  redwinggw::testing::require(static_cast<bool>(Condition), #Condition,        \
                              __FILE__, __LINE__)

int main() {
  for (const redwinggw::testing::test_case &Case :
       redwinggw::testing::testCases()) {
    std::cerr << Case.Name << "\n";
    Case.Run();
  }
  return redwinggw::testing::testCases().empty() ? 1 : 0;
}
