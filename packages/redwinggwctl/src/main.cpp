#include <iostream>

int main() {
  std::cout << "redwinggwctl " REDWINGGW_VERSION "\n";
  return 0;
}
