#include "redwinggw/session/forwarding_client.hpp"
#include "redwinggw/session/forwarding_server.hpp"
#include "redwinggw/session/state_transfer.hpp"

#include "fake_endpoint.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

const std::string Secret = "secret";
constexpr std::size_t LargeBytes = 5'000'000;

transferred_state largeConfiguration(std::uint64_t Version) {
  return {Version, std::make_shared<const std::string>(LargeBytes, 'x')};
}

/// Two instances over real connections, in one event loop.
struct configuration_pair {
  configuration_pair()
      : Holder(Context, Group), Requester(Context, Group),
        Server(Context.get_executor(), Holder.Core, Secret),
        Links(Context.get_executor(), Requester.Set.Watch, Secret) {
    Address = Server.listen({"127.0.0.1", 0}).value();
    constexpr unsigned AtOnce = 2;
    Server.serveStateFrom(
        [this](const transfer_request &Request) {
          return Request.Kind == state_kind::Configuration
                     ? Held
                     : transferred_state();
        },
        AtOnce);
  }
  ~configuration_pair() {
    Server.stop();
    Context.poll();
  }

  base::task<void> fetchOnce(std::uint64_t Version) {
    const connection_owner From{"holder", Address};
    const transfer_request Request{Version};
    Answers.push_back(co_await Links.fetchState(From, Request));
  }

  /// Fetches \p Times times at once and waits for all answers.
  void fetch(std::uint64_t Version, std::size_t Times = 1) {
    for (std::size_t Count = 0; Count < Times; ++Count)
      boost::asio::co_spawn(Context, fetchOnce(Version), boost::asio::detached);
    while (Answers.size() < Times)
      Context.run_one();
  }

  boost::asio::io_context Context;
  fake_group Group;
  core_fixture Holder;
  core_fixture Requester;
  forwarding_server Server;
  forwarding_client Links;
  http::address Address;
  transferred_state Held;
  std::vector<transferred_state> Answers;
};

} // namespace

// Guards against a limit on the size of a configuration that instances can send
// each other.
Test(state_transfer, sends_a_configuration_of_any_size) {
  configuration_pair Pair;
  Pair.Held = largeConfiguration(9);
  Pair.fetch(5);
  cr_assert(Pair.Answers[0].Version == 9);
  cr_assert(*Pair.Answers[0].Text == *Pair.Held.Text);
}

Test(state_transfer, sends_nothing_that_is_not_newer) {
  configuration_pair Pair;
  Pair.fetch(0);
  cr_assert(Pair.Answers[0].Version == 0);
  Pair.Answers.clear();
  Pair.Held = largeConfiguration(9);
  Pair.fetch(9);
  cr_assert(Pair.Answers[0].Version == 0);
}

// Guards against changes that are taken for the whole configuration.
Test(state_transfer, tells_changes_from_the_whole) {
  configuration_pair Pair;
  Pair.Held = largeConfiguration(9);
  Pair.fetch(5);
  cr_assert(Pair.Answers[0].Base == 0);
  Pair.Answers.clear();
  Pair.Held.Base = 5;
  Pair.fetch(5);
  cr_assert(Pair.Answers[0].Version == 9 && Pair.Answers[0].Base == 5);
}

// Guards against a link that is saturated by the requests of all others at
// once.
Test(state_transfer, refuses_more_transfers_than_it_can_send_at_a_time) {
  configuration_pair Pair;
  Pair.Held = largeConfiguration(9);
  constexpr std::size_t Requesters = 10;
  Pair.fetch(5, Requesters);
  const auto Served = std::ranges::count(Pair.Answers, std::uint64_t{9},
                                         &transferred_state::Version);
  cr_assert(Served >= 1);
  Pair.Answers.clear();
  Pair.fetch(5);
  cr_assert(Pair.Answers[0].Version == 9);
}

// Guards against a text assembled from two configurations.
Test(state_transfer, rejects_chunks_of_two_configurations) {
  transfer_assembly Assembly;
  cr_assert(appendChunk(Assembly, {9, "begin", false}));
  cr_assert(!appendChunk(Assembly, {10, "end", true}));
}

Test(state_transfer, messages_survive_encoding) {
  const transfer_request Request{300};
  const std::string Asked = encodeTransferRequest(Secret, Request);
  const auto Again = decodeTransferRequest(Secret, Asked);
  cr_assert(Again && Again->Version == 300 &&
            Again->Kind == state_kind::Configuration);
  const transfer_request Other{300, state_kind::Instances};
  const auto Kind =
      decodeTransferRequest(Secret, encodeTransferRequest(Secret, Other));
  cr_assert(Kind && Kind->Version == 300 &&
            Kind->Kind == state_kind::Instances);
  const transfer_chunk Chunk{7, "text", false};
  const std::string Told = encodeTransferChunk(Secret, Chunk);
  const auto Read = decodeTransferChunk(Secret, Told);
  cr_assert(Read && Read->Version == 7 && Read->Text == "text" && !Read->Last);
}

// Guards against one kind of message being decoded as another.
Test(state_transfer, refuses_other_messages_and_secrets) {
  const transfer_request Request{300};
  const std::string Asked = encodeTransferRequest(Secret, Request);
  cr_assert(!decodeTransferChunk(Secret, Asked));
  cr_assert(!decodeTransferRequest("another", Asked));
  cr_assert(!decodeTransferRequest(Secret, Asked.substr(1)));
}
