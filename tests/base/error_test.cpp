#include "redwinggw/base/error.hpp"

#include "criterion_test.hpp"

using namespace redwinggw::base;

Test(error, every_kind_names_its_remedy) {
  for (int Value = 0; Value <= static_cast<int>(errc::Internal); ++Value) {
    const error_kind &Kind = kindOf(static_cast<errc>(Value));
    cr_assert(static_cast<int>(Kind.Code) == Value);
    cr_assert(!Kind.Remedy.empty());
    cr_assert(errcNamed(Kind.Name) == Kind.Code);
  }
}

Test(error, a_description_holds_the_detail_and_the_remedy) {
  const failure Failure(errc::NotFound, "group orders");
  const std::string Text = describe(Failure);
  cr_assert(Text.find("group orders") != std::string::npos);
  cr_assert(Text.find("check the name") != std::string::npos);
}
