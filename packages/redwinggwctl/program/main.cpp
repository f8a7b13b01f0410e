#include "redwinggw/ctl/tool.hpp"

#include <iostream>

using namespace redwinggw;

int main(int Count, char **Arguments) {
  const std::vector<std::string> Words(Arguments + 1, Arguments + Count);
  return static_cast<int>(
      ctl::runTool(Words, ctl::exchange, std::cout, std::cerr));
}
