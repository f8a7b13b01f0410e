#include "redwinggw/session/configuration_transfer.hpp"
#include "redwinggw/session/forwarding_client.hpp"
#include "redwinggw/session/forwarding_server.hpp"

#include "fake_endpoint.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

const std::string Secret = "secret";
constexpr std::size_t LargeBytes = 5'000'000;

stored_configuration largeConfiguration(std::uint64_t Row) {
  return {Row, std::make_shared<const std::string>(LargeBytes, 'x')};
}

/// Two instances over real connections, in one event loop.
struct configuration_pair {
  configuration_pair()
      : Holder(Context, Group), Requester(Context, Group),
        Server(Context.get_executor(), Holder.Core, Secret),
        Links(Context.get_executor(), Requester.Set.Watch, Secret) {
    Address = Server.listen({"127.0.0.1", 0}).value();
    Server.serveConfigurationFrom([this] { return Held; });
  }
  ~configuration_pair() {
    Server.stop();
    Context.poll();
  }

  base::task<void> fetchOnce(std::uint64_t Row) {
    const connection_owner From{"holder", Address};
    Answers.push_back(co_await Links.fetchConfiguration(From, Row));
  }

  /// Fetches \p Times times at once and waits for all answers.
  void fetch(std::uint64_t Row, std::size_t Times = 1) {
    for (std::size_t Count = 0; Count < Times; ++Count)
      boost::asio::co_spawn(Context, fetchOnce(Row), boost::asio::detached);
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
  stored_configuration Held;
  std::vector<stored_configuration> Answers;
};

} // namespace

// Guards against a limit on the size of a configuration that instances can send
// each other.
Test(configuration_transfer, sends_a_configuration_of_any_size) {
  configuration_pair Pair;
  Pair.Held = largeConfiguration(9);
  Pair.fetch(5);
  cr_assert(Pair.Answers[0].Row == 9);
  cr_assert(*Pair.Answers[0].Text == *Pair.Held.Text);
}

Test(configuration_transfer, sends_nothing_that_is_not_newer) {
  configuration_pair Pair;
  Pair.fetch(0);
  cr_assert(Pair.Answers[0].Row == 0);
  Pair.Answers.clear();
  Pair.Held = largeConfiguration(9);
  Pair.fetch(9);
  cr_assert(Pair.Answers[0].Row == 0);
}

// Guards against a link that is saturated by the requests of all others at
// once.
Test(configuration_transfer,
     refuses_more_transfers_than_it_can_send_at_a_time) {
  configuration_pair Pair;
  Pair.Held = largeConfiguration(9);
  constexpr std::size_t Requesters = 10;
  Pair.fetch(5, Requesters);
  const auto Served = std::ranges::count(Pair.Answers, std::uint64_t{9},
                                         &stored_configuration::Row);
  cr_assert(Served >= 1);
  Pair.Answers.clear();
  Pair.fetch(5);
  cr_assert(Pair.Answers[0].Row == 9);
}

// Guards against a text assembled from two configurations.
Test(configuration_transfer, rejects_chunks_of_two_configurations) {
  configuration_assembly Assembly;
  cr_assert(appendChunk(Assembly, {9, "begin", false}));
  cr_assert(!appendChunk(Assembly, {10, "end", true}));
}

Test(configuration_transfer, messages_survive_encoding) {
  const configuration_request Request{300};
  const std::string Asked = encodeConfigurationRequest(Secret, Request);
  const auto Again = decodeConfigurationRequest(Secret, Asked);
  cr_assert(Again && Again->Row == 300);
  const configuration_chunk Chunk{7, "text", false};
  const std::string Told = encodeConfigurationChunk(Secret, Chunk);
  const auto Read = decodeConfigurationChunk(Secret, Told);
  cr_assert(Read && Read->Row == 7 && Read->Text == "text" && !Read->Last);
}

// Guards against one kind of message being decoded as another.
Test(configuration_transfer, refuses_other_messages_and_secrets) {
  const configuration_request Request{300};
  const std::string Asked = encodeConfigurationRequest(Secret, Request);
  cr_assert(!decodeConfigurationChunk(Secret, Asked));
  cr_assert(!decodeConfigurationRequest("another", Asked));
  cr_assert(!decodeConfigurationRequest(Secret, Asked.substr(1)));
}
