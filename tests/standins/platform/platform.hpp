#pragma once

#include "common/standin.hpp"
#include "platform/table.hpp"

#include <map>
#include <string>
#include <vector>

/// Stand-in for the platform: implements docs/PLATFORM.md over HTTP.
namespace redwinggw::standin {

enum class platform_fault_kind { Outage, Slow, Silent, LoseAnswer, None };

struct platform_fault {
  platform_fault_kind Kind = platform_fault_kind::None;
  base::microseconds Delay{0};
  std::uint64_t Count = 0;
  /// Applies only to requests of this process; empty means all.
  std::string From;
};

struct request_counts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
};

/// Used from one thread. Must outlive the server that calls it.
class platform_standin {
public:
  platform_standin(boost::asio::any_io_executor Executor,
                   base::microseconds ListLag);

  /// The handler for an http::server.
  base::task<http::response> handle(http::request Request);

private:
  http::response perform(const http::request &Request);
  http::response admin(const http::request &Request);
  http::response commitRows(const boost::json::object &Body);
  http::response readTable(const std::string &Target,
                           const boost::json::object &Body);
  http::response objects(const std::string &Target,
                         const boost::json::object &Body);
  http::response listInstances() const;
  http::response counters() const;
  void setFault(const boost::json::object &Body);
  void changeInstance(const boost::json::object &Body);
  void count(const http::request &Request);
  const platform_fault *faultFor(platform_fault_kind Kind,
                                 const std::string &From) const;
  bool loseAnswer(const http::request &Request);

  boost::asio::any_io_executor Executor;
  table Table;
  instance_list Instances;
  std::map<std::string, std::string> Objects;
  std::vector<platform_fault> Faults;
  std::map<std::string, request_counts> Counts;
  wait_list FaultsChanged;
};

} // namespace redwinggw::standin
