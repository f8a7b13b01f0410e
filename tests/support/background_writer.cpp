#include "background_writer.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>

namespace redwinggw::fleet {
namespace {

/// A write that is not done after this many tries is recorded as it is.
constexpr unsigned MaxTries = 400;

} // namespace

background_writer::background_writer(caller Given,
                                     std::vector<http::address> Instances,
                                     std::int64_t FirstMark)
    : Caller(std::move(Given)), Instances(std::move(Instances)),
      NextMark(FirstMark), Thread([this] { run(); }) {}

background_writer::~background_writer() { stop(); }

std::vector<write_record> background_writer::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
  return std::move(Records);
}

std::string background_writer::refusals() const {
  std::string Text;
  for (const auto &[Kind, Count] : Refusals)
    Text += std::to_string(Count) + " times " + Kind + "\n";
  return Text;
}

void background_writer::run() {
  while (!Stopping) {
    const std::int64_t Mark = NextMark++;
    const std::string Outcome = writeOnce(Mark);
    const bool Missed = Outcome == "done" && misses(Mark);
    Records.push_back({Mark, Outcome, Missed});
    Done += Outcome == "done" ? 1 : 0;
  }
}

const http::address &background_writer::addressFor(std::int64_t Mark,
                                                   std::size_t Try) const {
  return Instances[(static_cast<std::size_t>(Mark) + Try) % Instances.size()];
}

bool background_writer::misses(std::int64_t Mark) {
  const reply Read = Caller.read(
      addressFor(Mark, 1), "select count(*) from bag where grams = ?", {Mark});
  if (outcomeOf(Read) != "done")
    return false;
  return Read.Body.at("rows").at(0).at(0).as_int64() == 0;
}

std::string background_writer::writeOnce(std::int64_t Mark) {
  reply Reply = Caller.write(addressFor(Mark, 0),
                             "insert into bag(grams) values(?)", {Mark});
  for (unsigned Try = 1;
       outcomeOf(Reply) != "done" && Try < MaxTries && !Stopping; ++Try) {
    ++Refusals[Reply.Failure + textIn(Reply.Body, "error")];
    sleepBetweenPolls();
    Reply = Caller.repeat(addressFor(Mark, Try));
  }
  return outcomeOf(Reply);
}

std::vector<http::address> callerAddresses(running_fleet &Fleet) {
  std::vector<http::address> Addresses;
  for (const auto &Instance : Fleet.instances())
    Addresses.push_back(Instance->Callers);
  return Addresses;
}

bool writesContinue(running_fleet &Fleet, background_writer &Writer,
                    std::size_t Enough) {
  const std::size_t Wanted = Writer.done() + Enough;
  const bool Came = eventually([&] { return Writer.done() >= Wanted; });
  if (Came)
    return true;
  Writer.stop();
  std::cerr << Writer.refusals() << Fleet.logs();
  return false;
}

std::vector<std::string>
consistencyViolations(running_fleet &Fleet, std::string_view Endpoint,
                      const std::vector<write_record> &Records) {
  std::map<std::int64_t, std::int64_t> Rows;
  for (const auto &Row :
       Fleet.dump(Endpoint, "select grams, count(*) from bag group by grams"))
    Rows[Row.at(0).as_int64()] = Row.at(1).as_int64();
  std::vector<std::string> Found;
  for (const write_record &Record : Records) {
    const std::int64_t Kept = Rows[Record.Mark];
    const bool Lost = Record.Outcome == "done" && Kept == 0;
    const bool FalseNotRun = Record.Outcome == "not_run" && Kept > 0;
    if (Lost || FalseNotRun || Kept > 1 || Record.Missed)
      Found.push_back(std::to_string(Record.Mark) + " was reported as " +
                      Record.Outcome + ", rows " + std::to_string(Kept) +
                      (Record.Missed ? ", missed by its session" : ""));
  }
  return Found;
}

} // namespace redwinggw::fleet
