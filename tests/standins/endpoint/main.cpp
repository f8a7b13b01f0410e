#include "endpoint.hpp"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace options = boost::program_options;
using namespace redwinggw;

namespace {

/// Command line options before conversion to endpoint_options.
struct arguments {
  std::string Listen;
  double ConnectCost = 0;
  double Work = 0;
  double Lag = 0;
  double ShipLag = 0;
  std::string Schema;
  std::vector<std::string> Members;
  standin::endpoint_options Options;
};

arguments argumentsOf(int Count, char **Words) {
  arguments Given;
  options::options_description Known;
  Known.add_options()("name", options::value(&Given.Options.Name)->required())(
      "group", options::value(&Given.Options.Group)->required())(
      "listen", options::value(&Given.Listen)->required())(
      "slots", options::value(&Given.Options.Slots))(
      "connections", options::value(&Given.Options.Connections))(
      "connect-ms", options::value(&Given.ConnectCost))(
      "work-ms", options::value(&Given.Work))(
      "lag-ms", options::value(&Given.Lag))("ship-lag-ms",
                                            options::value(&Given.ShipLag))(
      "primary", options::bool_switch(&Given.Options.Primary))(
      "member", options::value(&Given.Members)->composing())(
      "schema", options::value(&Given.Schema));
  options::variables_map Values;
  options::store(options::parse_command_line(Count, Words, Known), Values);
  options::notify(Values);
  return Given;
}

data::endpoint_address memberOf(const std::string &Text) {
  const auto Sign = Text.find('=');
  if (Sign == std::string::npos)
    throw std::invalid_argument("--member takes NAME=IP:port");
  return {Text.substr(0, Sign),
          http::parseAddress(Text.substr(Sign + 1)).value()};
}

std::vector<data::statement> schemaOf(const std::string &File) {
  if (File.empty())
    return {};
  std::ifstream Input(File);
  if (!Input)
    throw std::invalid_argument("cannot read " + File);
  std::ostringstream Script;
  Script << Input.rdbuf();
  return standin::statementsOf(Script.str());
}

standin::endpoint_options optionsOf(const arguments &Given) {
  standin::endpoint_options Options = Given.Options;
  Options.ConnectCost = standin::microsecondsOf(Given.ConnectCost);
  Options.Faults.Work = standin::microsecondsOf(Given.Work);
  Options.Faults.ApplyLag = standin::microsecondsOf(Given.Lag);
  Options.Faults.ShipLag = standin::microsecondsOf(Given.ShipLag);
  std::ranges::transform(Given.Members, std::back_inserter(Options.Members),
                         memberOf);
  Options.Schema = schemaOf(Given.Schema);
  return Options;
}

} // namespace

/// standin_endpoint --name N --group G --listen IP:port [--slots 5]
///   [--connections 35] [--connect-ms 12] [--work-ms 0.2] [--lag-ms 50]
///   [--ship-lag-ms 1] [--primary --member NAME=IP:port ...] [--schema FILE]
int main(int Count, char **Words) {
  try {
    const arguments Given = argumentsOf(Count, Words);
    boost::asio::io_context Context(1);
    const auto Endpoint = std::make_shared<standin::endpoint_standin>(
        Context.get_executor(), optionsOf(Given));
    http::server Server(
        Context.get_executor(), {},
        [&](http::connection &Connection, http::request Request) {
          return Endpoint->handle(Connection, std::move(Request));
        });
    return standin::serve(Context, Server,
                          http::parseAddress(Given.Listen).value());
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
}
