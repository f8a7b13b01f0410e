#include "redwinggw/base/base64.hpp"

#include "criterion_test.hpp"

using namespace redwinggw::base;

Test(base64, gives_back_what_it_was_given) {
  const std::string Zeros("\0a\0\0", 4);
  for (const std::string &Text :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("{\"k\":1}"), Zeros})
    cr_assert(fromBase64(toBase64(Text)) == Text);
  cr_assert(toBase64("node-1") == "bm9kZS0x");
}

Test(base64, refuses_what_is_not_base64) {
  cr_assert(!fromBase64("abc"));
  cr_assert(!fromBase64("ab*="));
}
