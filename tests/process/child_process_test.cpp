#include "child_process.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "criterion_test.hpp"

using namespace redwinggw::fleet;

// A child must not inherit sockets. A database that was restarted during a test
// inherited the test's sockets to another database, which never saw them close
// and refused every caller with connection_limit although none was connected.
Test(child_process, a_child_keeps_no_socket_of_its_parent_open) {
  std::array<int, 2> Ends{};
  cr_assert(socketpair(AF_UNIX, SOCK_STREAM, 0, Ends.data()) == 0);
  child_process Child(command_line{"/bin/sleep", {"60"}}, "/dev/null");
  close(Ends[0]);
  char Byte = 0;
  // End of stream at once; with the socket still open it would be EAGAIN.
  cr_assert(recv(Ends[1], &Byte, 1, MSG_DONTWAIT) == 0);
  close(Ends[1]);
}
