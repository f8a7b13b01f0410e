#include "platform.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace options = boost::program_options;
using namespace redwinggw;

/// standin_platform --listen IP:port [--list-lag-ms N]
int main(int Count, char **Arguments) {
  std::string Listen;
  double ListLag = 0;
  options::options_description Known;
  Known.add_options()("listen", options::value(&Listen)->required())(
      "list-lag-ms", options::value(&ListLag));
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(Count, Arguments, Known),
                   Values);
    options::notify(Values);
    boost::asio::io_context Context(1);
    standin::platform_standin Platform(Context.get_executor(),
                                       standin::microsecondsOf(ListLag));
    http::server Server(Context.get_executor(), {},
                        [&](http::connection &, http::request Request) {
                          return Platform.handle(std::move(Request));
                        });
    return standin::serve(Context, Server, http::parseAddress(Listen).value());
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
}
