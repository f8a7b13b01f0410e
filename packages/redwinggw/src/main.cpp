#include <iostream>

int main() {
  std::cout << "redwinggw " REDWINGGW_VERSION "\n";
  return 0;
}
