#include "config_state.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>

namespace redwinggw::control {
namespace {

using base::log_level;
using base::log_part;
using base::result;
using base::task;

} // namespace

task<result<config_head>> configuration_service::state::readHead() {
  const base::instant Sent = base::now();
  std::vector<std::string> Keys{HeadKey};
  const auto Rows = co_await storage::get(Store, std::move(Keys));
  recordStoreResponse(Rows.has_value());
  if (!Rows)
    co_return Rows.error();
  const auto Head = headOf(Rows->front());
  if (!Head)
    co_return Head.error();
  // The send time, not the time of the answer: a change may have been accepted
  // while the answer was in transit.
  LastStoreAnswer = std::max(LastStoreAnswer.value_or(Sent), Sent);
  if (Ports.NoteStoreRead)
    Ports.NoteStoreRead(Sent, base::now(), Head->Version);
  co_return Head;
}

task<result<std::vector<accepted_sheet>>>
configuration_service::state::readSheets(
    std::vector<base::config_version> Versions) {
  std::vector<std::string> Keys;
  std::ranges::transform(Versions, std::back_inserter(Keys), sheetKey);
  std::vector<accepted_sheet> Sheets;
  if (Keys.empty())
    co_return Sheets;
  const auto Rows = co_await storage::get(Store, std::move(Keys));
  if (!Rows)
    co_return Rows.error();
  if (Ports.NoteStoreContact)
    Ports.NoteStoreContact();
  for (const storage::row &Row : *Rows) {
    auto Sheet = control::sheetOf(Row);
    if (!Sheet)
      co_return Sheet.error();
    std::optional<accepted_sheet> &Kept = *Sheet;
    if (Kept)
      Sheets.push_back(std::move(*Kept));
  }
  co_return Sheets;
}

task<result<config_state>>
configuration_service::state::readState(const submission &Submission) {
  const auto Head = co_await readHead();
  if (!Head)
    co_return Head.error();
  auto Sheets = co_await readSheets(sheetsToRead(Submission, *Head));
  if (!Sheets)
    co_return Sheets.error();
  config_state Read{*Head, std::move(*Sheets)};
  co_return Read;
}

task<void> configuration_service::state::refresh() {
  const auto Head = co_await readHead();
  if (!Head)
    co_return;
  if (InForce.Configuration && InForce.Configuration->Version >= Head->Version)
    co_return;
  if (Head->Version == 0) {
    apply({});
    co_return;
  }
  std::vector<base::config_version> Versions{Head->Version};
  const auto Sheets = co_await readSheets(std::move(Versions));
  if (!Sheets || Sheets->empty())
    co_return;
  auto Accepted = configurationOf(Sheets->front());
  if (Accepted)
    apply(std::move(*Accepted));
  else
    base::log(log_level::Error, log_part::Configuration,
              "The sheet in the store is not valid: " +
                  base::describe(Accepted.error()) + ".");
}

task<void> configuration_service::state::refreshLoop() {
  const auto Self = shared_from_this();
  while (!Stopped) {
    ReadAgain = false;
    co_await refresh();
    startWithdrawals();
    if (ReadAgain || Stopped)
      continue;
    boost::system::error_code Ignored;
    Timer.expires_after(Options.RefreshInterval);
    co_await Timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
  }
}

void configuration_service::state::apply(configuration Accepted) {
  if (applyVersion(InForce, std::move(Accepted)))
    notify();
}

void configuration_service::state::notify() const {
  for (const auto &Callback : Callbacks)
    Callback(InForce.Configuration ? *InForce.Configuration
                                   : EmptyConfiguration);
}

void configuration_service::state::recordStoreResponse(bool Answered) {
  if (Answered != StoreAnswers)
    base::log(Answered ? log_level::Info : log_level::Warning,
              log_part::Configuration,
              Answered ? "The store answers again."
                       : "The store does not answer.");
  StoreAnswers = Answered;
}

task<void> configuration_service::state::pause(base::milliseconds Time) {
  boost::asio::steady_timer Pause(Executor, Time);
  co_await Pause.async_wait(boost::asio::use_awaitable);
}

base::milliseconds configuration_service::state::randomPause() {
  std::uniform_int_distribution<base::milliseconds::rep> Part(
      1, Options.RetryPause.count());
  return base::milliseconds(Part(Random));
}

} // namespace redwinggw::control
