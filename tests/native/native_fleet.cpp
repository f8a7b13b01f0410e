#include "native_fleet.hpp"

#include "ask.hpp"
#include "free_port.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <unistd.h>

namespace redwinggw::fleet {
namespace {

std::string makeDirectory() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "redwinggw-native-XXXXXX")
          .string();
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("cannot make a directory for the fleet");
  return Name;
}

} // namespace

bool isReady(const native_process &Instance) {
  constexpr unsigned Ok = 200;
  return statusOfGet(Instance.Readiness, "/v1/readiness") == Ok;
}

native_fleet::native_fleet(std::size_t Count, const std::string &MoreSettings)
    : native_fleet(fleet_options{Count, 1, MoreSettings, false}) {}

native_fleet::native_fleet(const fleet_options &Options)
    : World(Options.Services), Directory(makeDirectory()),
      Instances(Options.Instances) {
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    Instances[Index].Name = "i" + std::to_string(Index + 1);
    Instances[Index].Peers = freeAddress();
  }
  if (Options.Proxied)
    linkPeers();
  for (std::size_t Index = 0; Index < Instances.size(); ++Index)
    configure(Index, Options);
  for (native_process &Instance : Instances)
    start(Instance);
  for (const native_process &Instance : Instances)
    if (!eventually([&] { return isReady(Instance); }))
      throw std::runtime_error(Instance.Name + " does not become ready: " +
                               Instance.Process->output());
}

void native_fleet::linkPeers() {
  for (std::size_t Low = 0; Low < Instances.size(); ++Low)
    for (std::size_t High = Low + 1; High < Instances.size(); ++High)
      Links[{Low, High}] =
          &World.addLink({Instances[Low].Peers, Instances[High].Peers});
}

/// The rows as the instance \p Index sees them: it reaches the others through
/// links. Refers to nothing of the fleet, which ends before the platform.
standin::row_table::row_view native_fleet::viewOf(std::size_t Index) const {
  std::map<std::string, std::string> Addresses;
  for (std::size_t Other = 0; Other < Instances.size(); ++Other) {
    if (Other == Index)
      continue;
    const auto *Link = Links.at(std::minmax(Index, Other));
    Addresses["instance/" + Instances[Other].Name] =
        toText(Link->addressOf(Other < Index ? 0 : 1));
  }
  return [Addresses](const std::string &Key, const std::string &Value) {
    const auto Found = Addresses.find(Key);
    if (Found == Addresses.end())
      return Value;
    boost::json::value Row = boost::json::parse(Value);
    Row.as_object()["peers"] = Found->second;
    return boost::json::serialize(Row);
  };
}

void native_fleet::cut(std::size_t Sender, std::size_t Receiver, bool Cut) {
  World.runOnThread([&](standin::simulated_platform &) {
    Links.at(std::minmax(Sender, Receiver))
        ->cut(Sender < Receiver ? 0 : 1, Cut);
  });
}

void native_fleet::configure(std::size_t Index, const fleet_options &Options) {
  native_process &Instance = Instances[Index];
  const bool Last = Index + 1 == Instances.size();
  http::address Store = Last ? World.SecondStoreAddress : World.StoreAddress;
  http::address Promotions = World.PromotionAddress;
  if (Options.Proxied) {
    Instance.Store = &World.addProxy(World.addStore(viewOf(Index)));
    Instance.Promotions = &World.addProxy(World.PromotionAddress);
    Store = Instance.Store->address();
    Promotions = Instance.Promotions->address();
  }
  Instance.Callers = freeAddress();
  Instance.Readiness = freeAddress();
  Instance.SettingsFile = Directory + "/" + Instance.Name + ".ini";
  std::ofstream(Instance.SettingsFile)
      << "[instance]\nname = " << Instance.Name << "\nzone = z1\n[listen]\n"
      << "callers = " << toText(Instance.Callers) << "\n"
      << "readiness = " << toText(Instance.Readiness) << "\n"
      << "peers = " << toText(Instance.Peers) << "\n"
      << "metrics = " << toText(freeAddress()) << "\n"
      << "[platform]\nkind = native\naddress = " << toText(Store) << "\n"
      << "promotions = " << toText(Promotions) << "\n"
      << Options.MoreSettings << "[log]\nformat = json\n";
}

void native_fleet::start(native_process &Instance) {
  Instance.Process.reset();
  Instance.Process = std::make_unique<child_process>(
      command_line{REDWINGGW, {"--config", Instance.SettingsFile}},
      Directory + "/" + Instance.Name + ".log");
}

void native_fleet::kill(native_process &Instance) {
  Instance.Process->signal(SIGKILL);
  Instance.Process->wait(std::chrono::seconds(10));
}

native_fleet::~native_fleet() {
  Instances.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Directory, Ignored);
}

} // namespace redwinggw::fleet
