#include "redwinggw/control/configuration_service.hpp"

#include "config_state.hpp"

#include "redwinggw/base/digest.hpp"
#include "redwinggw/control/sheet.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <numeric>

namespace redwinggw::control {
namespace {

using base::errc;
using base::failure;
using base::result;
using base::task;

constexpr std::size_t KeyIdDigits = 16;

std::string linesOf(const std::vector<sheet_fault> &Faults) {
  std::string Lines;
  for (const sheet_fault &Fault : Faults) {
    Lines += Lines.empty() ? "" : "\n";
    Lines += describe(Fault);
  }
  return Lines;
}

} // namespace

configuration_service::configuration_service(
    boost::asio::any_io_executor Executor, storage::store &Store,
    config_options Options)
    : State(std::make_shared<state>(std::move(Executor), Store,
                                    std::move(Options))) {}

configuration_service::~configuration_service() { stop(); }

void configuration_service::setPorts(configuration_ports Ports) {
  State->Ports = std::move(Ports);
}

void configuration_service::start() {
  boost::asio::co_spawn(State->Executor, State->refreshLoop(),
                        boost::asio::detached);
}

void configuration_service::stop() {
  State->Stopped = true;
  State->Timer.cancel();
}

const configuration &configuration_service::inForce() const {
  const auto &Current = State->InForce.Configuration;
  return Current ? *Current : State->EmptyConfiguration;
}

bool configuration_service::hasConfiguration() const {
  return State->InForce.Configuration.has_value();
}

void configuration_service::onChange(
    std::function<void(const configuration &)> Callback) {
  State->Callbacks.push_back(std::move(Callback));
}

void configuration_service::noteVersionSeen(base::config_version Version) {
  if (hasConfiguration() && Version <= inForce().Version)
    return;
  State->ReadAgain = true;
  State->Timer.cancel();
}

std::optional<base::instant> configuration_service::lastStoreAnswer() const {
  return State->LastStoreAnswer;
}

task<result<submitted>> configuration_service::submit(std::string Sheet) {
  const auto Self = State;
  sheet_parse_result Parsed = parseSheet(Sheet);
  if (!Parsed.Configuration)
    co_return failure(errc::BadSheet, linesOf(Parsed.Faults));
  config_request Request = std::move(*Parsed.Configuration);
  co_return co_await Self->change(std::move(Request));
}

task<result<given_key>>
configuration_service::giveKey(base::customer_name Customer) {
  const auto Self = State;
  given_key Given;
  Given.Id = "key-" + base::randomId().substr(0, KeyIdDigits);
  Given.Key = base::randomId() + base::randomId();
  key_addition Addition;
  Addition.Key = {
      Given.Id, Customer,
      base::toHex(base::hmacSha256(Self->Options.FleetKey, Given.Key))};
  config_request Request = std::move(Addition);
  const auto Submitted = co_await Self->change(std::move(Request));
  if (Submitted) {
    Given.Submitted = *Submitted;
    co_return Given;
  }
  failure Failure = Submitted.error();
  if (kindOf(Failure) == errc::OutcomeUnknown)
    Failure.Detail += ": " + Given.Id + "; then give another";
  co_return Failure;
}

task<result<submitted>> configuration_service::withdrawKey(std::string KeyId) {
  const auto Self = State;
  co_return co_await Self->withdraw(std::move(KeyId));
}

task<result<accepted_sheet>>
configuration_service::sheetOf(base::config_version Version) {
  const auto Self = State;
  std::vector<base::config_version> Versions{Version};
  auto Sheets = co_await Self->readSheets(std::move(Versions));
  if (!Sheets)
    co_return Sheets.error();
  if (Sheets->empty())
    co_return failure(errc::NotFound,
                      "version " + std::to_string(Version) + "; the last " +
                          std::to_string(HistoryKept) + " are kept");
  co_return std::move(Sheets->front());
}

task<result<std::vector<accepted_sheet>>>
configuration_service::history(std::size_t Count) {
  const auto Self = State;
  const auto Head = co_await Self->readHead();
  if (!Head)
    co_return Head.error();
  Count = std::min<std::size_t>(Count, Head->Version);
  std::vector<base::config_version> Versions(Count);
  std::iota(Versions.rbegin(), Versions.rend(), Head->Version + 1 - Count);
  co_return co_await Self->readSheets(std::move(Versions));
}

} // namespace redwinggw::control
