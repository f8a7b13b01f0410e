#include "native_fleet.hpp"

#include "ask.hpp"
#include "free_port.hpp"

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

native_fleet::native_fleet(std::size_t Count, const std::string &Settings)
    : Directory(makeDirectory()) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    native_process &Instance = Instances.emplace_back();
    Instance.Name = "i" + std::to_string(Index + 1);
    Instance.Callers = freeAddress();
    Instance.Readiness = freeAddress();
    Instance.SettingsFile = Directory + "/" + Instance.Name + ".ini";
    std::ofstream(Instance.SettingsFile)
        << "[instance]\nname = " << Instance.Name << "\nzone = z1\n[listen]\n"
        << "callers = " << toText(Instance.Callers) << "\n"
        << "readiness = " << toText(Instance.Readiness) << "\n"
        << "peers = " << toText(freeAddress()) << "\n"
        << "metrics = " << toText(freeAddress()) << "\n"
        << "[platform]\nkind = native\n"
        << "address = "
        << toText(Index + 1 < Count ? World.StoreAddress
                                    : World.SecondStoreAddress)
        << "\n"
        << "promotions = " << toText(World.PromotionAddress) << "\n"
        << "[log]\nformat = json\n"
        << Settings;
    start(Instance);
  }
  for (const native_process &Instance : Instances)
    if (!eventually([&] { return isReady(Instance); }))
      throw std::runtime_error(Instance.Name + " does not become ready: " +
                               Instance.Process->output());
}

void native_fleet::start(native_process &Instance) {
  Instance.Process.reset();
  Instance.Process = std::make_unique<child_process>(
      command_line{REDWINGGW, {"--config", Instance.SettingsFile}},
      Directory + "/" + Instance.Name + ".log");
}

native_fleet::~native_fleet() {
  Instances.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Directory, Ignored);
}

} // namespace redwinggw::fleet
