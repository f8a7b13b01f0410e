#pragma once

#include "child_process.hpp"
#include "native/simulated_platform.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace redwinggw::fleet {

/// One real instance process.
struct native_process {
  std::string Name;
  http::address Callers;
  http::address Readiness;
  http::address Peers;
  std::string SettingsFile;
  /// Its links to the platform, for use in runOnThread() only. Null unless
  /// fleet_options::Proxied.
  /// @{
  standin::fault_proxy *Store = nullptr;
  standin::fault_proxy *Promotions = nullptr;
  /// @}
  std::unique_ptr<child_process> Process;
};

struct fleet_options {
  std::size_t Instances = 3;
  std::size_t Services = 1;
  /// Lines of the settings of every instance.
  std::string MoreSettings;
  /// Each instance reaches the platform and the other instances through
  /// proxies of its own.
  bool Proxied = false;
};

/// Real instances against stand-ins of the users' platform. The last instance
/// reaches the store through the stand-in's second address. Used from one
/// thread.
struct native_fleet {
  /// \p MoreSettings are lines of the settings of every instance.
  explicit native_fleet(std::size_t Instances,
                        const std::string &MoreSettings = {});
  explicit native_fleet(const fleet_options &Options);
  ~native_fleet();
  native_fleet(const native_fleet &) = delete;
  native_fleet &operator=(const native_fleet &) = delete;

  void start(native_process &Instance);
  /// Ends \p Instance at once.
  void kill(native_process &Instance);
  /// Loses what the instance \p Sender sends to \p Receiver, or delivers it
  /// again. Precondition: fleet_options::Proxied.
  void cut(std::size_t Sender, std::size_t Receiver, bool Cut);

  standin::simulated_platform World;
  std::string Directory;
  std::vector<native_process> Instances;

private:
  void linkPeers();
  void configure(std::size_t Index, const fleet_options &Options);
  standin::row_table::row_view viewOf(std::size_t Index) const;

  /// By the indices of both instances, the lower one first.
  std::map<std::pair<std::size_t, std::size_t>, standin::peer_link *> Links;
};

/// Whether \p Instance reports that it is ready, as the load balancer checks.
bool isReady(const native_process &Instance);

} // namespace redwinggw::fleet
