#include "redwinggw/session/statement_forwarding.hpp"
#include "redwinggw/wire/signature.hpp"

#include <random>
#include <string>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

const std::string Secret = "the fleet's secret";

forwarding_request fullRequest() {
  forwarding_request Request;
  Request.Endpoint = "i-1";
  Request.Customer = "acme";
  Request.Statement.Action = link_action::Caller;
  Request.Statement.Id = "5c0e7a21";
  Request.Statement.Text = "READ 1a4";
  Request.Statement.Values = session_values{{"zone", "east"}, {"a", ""}};
  Request.Statement.Prepared = "WRITE q2c";
  Request.Statement.Arguments = "1a4 xkq";
  Request.Statement.After = log_point{3, 70'000};
  Request.Statement.PrimaryLease = primary_lease{"s", "i-1", 12};
  Request.TimeLeft = base::milliseconds(480);
  Request.SlotWait = base::milliseconds(30);
  return Request;
}

forwarding_reply fullReply() {
  forwarding_reply Reply;
  Reply.Failure = forwarding_failure::None;
  Reply.Exchange.Outcome = exchange_outcome::Answered;
  Reply.Exchange.Answer.Rows = {"qhz", "", std::string(70'000, 'x')};
  Reply.Exchange.Answer.Signature = "7.1f3.c";
  Reply.Exchange.Answer.State = transaction_state::Open;
  Reply.Exchange.Answer.Point = log_point{3, 300};
  Reply.Load = 700;
  Reply.Lack = owner_lack::Acceptance;
  Reply.RetryAfter = base::milliseconds(100);
  return Reply;
}

} // namespace

Test(forwarding_codec, round_trips_a_request) {
  const auto Read = decodeRequest(Secret, encodeRequest(Secret, fullRequest()));
  cr_assert(Read);
  const link_statement &Statement = Read->Statement;
  cr_assert(Read->Endpoint == "i-1" && Read->Customer == "acme");
  cr_assert(Statement.Id == "5c0e7a21" && Statement.Text == "READ 1a4");
  cr_assert(Statement.Values == fullRequest().Statement.Values);
  cr_assert(Statement.Prepared == "WRITE q2c");
  cr_assert(Statement.Arguments == "1a4 xkq");
  cr_assert(Statement.After == log_point({3, 70'000}));
  cr_assert(Statement.PrimaryLease == primary_lease({"s", "i-1", 12}));
  cr_assert(Read->TimeLeft == base::milliseconds(480));
  cr_assert(Read->SlotWait == base::milliseconds(30));
}

Test(forwarding_codec, round_trips_a_reply) {
  const auto Read = decodeReply(Secret, encodeReply(Secret, fullReply()));
  cr_assert(Read && Read->Load == 700);
  cr_assert(Read->Lack == owner_lack::Acceptance);
  cr_assert(Read->RetryAfter == base::milliseconds(100));
  const answer &Answer = Read->Exchange.Answer;
  cr_assert(Answer.Rows == fullReply().Exchange.Answer.Rows);
  cr_assert(Answer.Signature == "7.1f3.c" && !Answer.Error);
  cr_assert(Answer.State == transaction_state::Open);
  cr_assert(Answer.Point == log_point({3, 300}));
}

// A fleet during an upgrade. Guards against taking a reply of another build for
// a lost owner, which makes a write's outcome unknown: an earlier build does
// not send the last fields, a later one may send more or other values of them.
Test(forwarding_codec, understands_replies_of_other_builds) {
  const std::string Signed = encodeReply(Secret, fullReply());
  const std::string Payload(
      wire::verify(Secret, Signed).value_or(std::string_view()));
  constexpr std::size_t AddedBytes = 2;
  const std::string Former = Payload.substr(0, Payload.size() - AddedBytes);
  const auto Earlier = decodeReply(Secret, wire::sign(Secret, Former));
  cr_assert(Earlier && Earlier->Load == 700);
  cr_assert(Earlier->Lack == owner_lack::None);
  cr_assert(Earlier->RetryAfter == base::milliseconds(0));
  const auto Later = decodeReply(
      Secret, wire::sign(Secret, Former + std::string("\x63\x05more")));
  cr_assert(Later && Later->Lack == owner_lack::None);
  cr_assert(Later->RetryAfter == base::milliseconds(5));
}

Test(forwarding_codec, round_trips_an_error) {
  forwarding_reply Reply;
  Reply.Exchange.Outcome = exchange_outcome::Answered;
  Reply.Exchange.Answer.Error = answer_error{answer_code::TooLarge, "a reason"};
  const auto Read = decodeReply(Secret, encodeReply(Secret, Reply));
  const auto Error = Read.value_or(forwarding_reply()).Exchange.Answer.Error;
  cr_assert(Error && Error->Code == answer_code::TooLarge &&
            Error->Reason == "a reason");
}

// Without this check anybody who reaches the port could run statements as any
// customer.
Test(forwarding_codec, refuses_another_secret) {
  cr_assert(!decodeRequest("guessed", encodeRequest(Secret, fullRequest())));
  cr_assert(!decodeReply("guessed", encodeReply(Secret, fullReply())));
}

Test(forwarding_codec, refuses_truncated_or_changed_bytes) {
  const std::string Bytes = encodeRequest(Secret, fullRequest());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    cr_assert(!decodeRequest(Secret, Bytes.substr(0, Length)));
  for (std::size_t At = 0; At < Bytes.size(); ++At) {
    std::string Changed = Bytes;
    Changed[At] = static_cast<char>(Changed[At] ^ 0x20);
    cr_assert(!decodeRequest(Secret, Changed));
  }
}

// An instance of another version signs correctly but encodes differently:
// whatever its bytes are, decoding them must end, in bounded memory.
Test(forwarding_codec, survives_signed_garbage) {
  std::mt19937 Random(4711);
  const std::string SignedRequest = encodeRequest(Secret, fullRequest());
  const std::string SignedReply = encodeReply(Secret, fullReply());
  const std::string Request(
      wire::verify(Secret, SignedRequest).value_or(std::string_view()));
  const std::string Reply(
      wire::verify(Secret, SignedReply).value_or(std::string_view()));
  for (unsigned Round = 0; Round < 3000; ++Round) {
    std::string Payload = Round % 2 == 0 ? Request : Reply;
    const std::size_t At = Random() % Payload.size();
    Payload[At] = static_cast<char>(Random());
    Payload.resize(Payload.size() - Random() % 3);
    const std::string Bytes = wire::sign(Secret, std::move(Payload));
    decodeRequest(Secret, Bytes);
    decodeReply(Secret, Bytes);
  }
}
