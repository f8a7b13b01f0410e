#include "fleet.hpp"

#include "ask.hpp"
#include "free_port.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace review {
namespace {

namespace fs = std::filesystem;
using redwinggw::http::address;
using redwinggw::http::toText;

/// The command of the deploy file.
constexpr const char *Program = "target/packages/redwinggw/redwinggw";

std::string makeDirectory() {
  std::string Name = (fs::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("cannot make a temporary folder");
  return Name;
}

/// What deploy/settings.ini renders.
std::string settingsOf(const instance &Instance, const address &Peers,
                       const simulated_platform &World) {
  return "[instance]\nname = " + Instance.Name +
         "\nzone = z1\nregion = r1\ncapacity = 0.25\nlink_mbps = 1000.0\n"
         "[listen]\ncallers = " +
         toText(Instance.Callers) +
         "\nreadiness = " + toText(Instance.Readiness) +
         "\npeers = " + toText(Peers) +
         "\nmetrics = " + toText(redwinggw::fleet::freeAddress()) +
         "\n[platform]\nkind = native\naddress = " +
         toText(World.StoreAddress) +
         "\npromotions = " + toText(World.PromotionAddress) +
         "\n[policy]\nowners = capacity\nconnections = demand\n"
         "bucket_reserve = 0.25\n"
         "[rates]\nwindow_s = 5\novershoot = 0.1\nextra_tokens = 20\n"
         "[endpoints]\ncold_overshoot = \ncold_slack = \n"
         "[zones]\nz1 = r1\n[log]\nformat = json\n";
}

bool isReady(const instance &Instance) {
  constexpr unsigned Ok = 200;
  return redwinggw::fleet::statusOfGet(Instance.Readiness, "/v1/readiness") ==
         Ok;
}

} // namespace

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

record::record(const std::string &File)
    : Out(File, std::ios::trunc), Begin(std::chrono::steady_clock::now()) {}

milliseconds record::elapsed() const {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - Begin);
}

void record::note(const std::string &Line) {
  const std::string Whole =
      std::to_string(elapsed().count()) + " ms  " + Line + "\n";
  Out << Whole << std::flush;
  std::cout << Whole << std::flush;
}

small_fleet::small_fleet(std::size_t Count, std::size_t Services)
    : World(Services), Instances(Count), Directory(makeDirectory()) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    instance &Instance = Instances[Index];
    Instance.Name = "i" + std::to_string(Index + 1);
    Instance.Callers = redwinggw::fleet::freeAddress();
    Instance.Readiness = redwinggw::fleet::freeAddress();
    Instance.SettingsFile = Directory + "/" + Instance.Name + ".ini";
    std::ofstream(Instance.SettingsFile)
        << settingsOf(Instance, redwinggw::fleet::freeAddress(), World);
  }
  startAll();
  for (const instance &Instance : Instances)
    if (!eventually([&] { return isReady(Instance); }))
      throw std::runtime_error(
          Instance.Name + " does not get ready: " + Instance.Process->output());
}

void small_fleet::startAll() {
  for (instance &Instance : Instances)
    Instance.Process = std::make_unique<child_process>(
        redwinggw::fleet::command_line{fs::absolute(Program).string(),
                                       {"--config", Instance.SettingsFile}},
        Directory + "/" + Instance.Name + ".log");
}

void small_fleet::killAll() {
  for (const instance &Instance : Instances)
    Instance.Process->signal(SIGKILL);
  for (const instance &Instance : Instances)
    Instance.Process->wait(std::chrono::seconds(10));
}

small_fleet::~small_fleet() {
  if (std::getenv("REVIEW_LOGS") != nullptr)
    for (const instance &Instance : Instances)
      std::cerr << Instance.Process->output();
  Instances.clear();
  std::error_code Ignored;
  fs::remove_all(Directory, Ignored);
}

std::string describe(const line_answer &Answer) {
  std::string Text =
      Answer.Error.empty() ? "DONE " + Answer.Signature : Answer.Error;
  for (const std::string &Row : Answer.Rows)
    Text += ", row " + Row;
  return Text;
}

line_answer small_fleet::runOnce(std::size_t Instance,
                                 const std::string &Database,
                                 const std::string &Text, record *Log) {
  line_client Caller(Instances.at(Instance).Callers, Database, "key");
  line_answer Answer;
  Answer.Error = Caller.failed();
  if (Answer.Error.empty())
    Answer = Caller.run(Text);
  if (Log != nullptr)
    Log->note(Instances.at(Instance).Name + " " + Database + ": " + Text +
              " -> " + describe(Answer));
  return Answer;
}

bool small_fleet::runEventually(std::size_t Instance,
                                const std::string &Database,
                                const std::string &Text, record *Log) {
  return eventually(
      [&] { return runOnce(Instance, Database, Text, Log).Error.empty(); },
      std::chrono::seconds(20));
}

int runCase(const std::string &Folder, int (*Case)(record &Log)) {
  record Log(Folder + "/record.txt");
  try {
    const int Code = Case(Log);
    Log.note("exit " + std::to_string(Code));
    return Code;
  } catch (const std::exception &Fault) {
    Log.note(std::string("could not run: ") + Fault.what());
    return CouldNotRun;
  }
}

} // namespace review
