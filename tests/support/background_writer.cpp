#include "background_writer.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace redwinggw::fleet {
namespace {

/// A write that is not done after so many tries is left as it is.
constexpr unsigned MostTries = 400;

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

void background_writer::run() {
  while (!Stopping) {
    const std::int64_t Mark = NextMark++;
    const std::string Outcome = writeOnce(Mark);
    Records.push_back({Mark, Outcome});
    Done += Outcome == "done" ? 1 : 0;
  }
}

std::string background_writer::writeOnce(std::int64_t Mark) {
  const auto Address = [&](std::size_t Try) {
    return Instances[(static_cast<std::size_t>(Mark) + Try) % Instances.size()];
  };
  reply Reply =
      Caller.write(Address(0), "insert into bag(grams) values(?)", {Mark});
  for (unsigned Try = 1; outcomeOf(Reply) != "done" && Try < MostTries; ++Try) {
    sleepBetweenPolls();
    Reply = Caller.repeat(Address(Try));
  }
  return outcomeOf(Reply);
}

std::vector<std::string> lies(running_fleet &Fleet, std::string_view Endpoint,
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
    if (Lost || FalseNotRun || Kept > 1)
      Found.push_back(std::to_string(Record.Mark) + " was told " +
                      Record.Outcome + ", rows " + std::to_string(Kept));
  }
  return Found;
}

} // namespace redwinggw::fleet
