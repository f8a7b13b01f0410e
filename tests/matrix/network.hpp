#pragma once

#include "redwinggw/base/time.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

/// Simulated time and messages between named nodes, deterministic for a seed.
/// Messages can be lost, delayed, duplicated and reordered.
namespace redwinggw::matrix {

using node = std::string;

class network {
public:
  explicit network(std::uint64_t Seed) : Random(Seed) {}

  base::instant Now{base::milliseconds(1)};
  std::mt19937_64 Random;
  /// Pairs of nodes: no message passes from the first to the second.
  std::set<std::pair<node, node>> Cuts;
  /// Pairs of nodes whose connections are dead without an error.
  std::set<std::pair<node, node>> Silent;
  std::set<node> Killed;
  std::map<node, base::instant> PausedUntil;
  /// Largest extra delay of a message.
  base::microseconds Delay{1500};
  bool Duplicates = false;

  /// Uniform in [0, Below).
  std::uint64_t pick(std::uint64_t Below) { return Random() % Below; }
  bool isUp(const node &Node) const;

  /// Runs \p Action on \p Owner after \p Wait; later if the node is paused,
  /// never if it is killed.
  void after(base::microseconds Wait, const node &Owner,
             std::function<void()> Action);
  void send(const node &From, const node &To, std::function<void()> Deliver);
  void runUntil(base::instant End);

  /// Sends a request and receives its answer. \p Done gets no value when no
  /// answer came within \p Timeout.
  template <typename Reply>
  void call(const node &From, const node &To,
            std::function<std::optional<Reply>()> Serve,
            std::function<void(std::optional<Reply>)> Done,
            base::milliseconds Timeout) {
    const auto Settled = std::make_shared<bool>(false);
    const auto Settle = [Settled, Done](std::optional<Reply> Answer) {
      if (!std::exchange(*Settled, true))
        Done(std::move(Answer));
    };
    after(Timeout, From, [this, Settle, Settled, From, To] {
      if (!*Settled)
        Silent.erase({From, To});
      Settle({});
    });
    if (Silent.contains({From, To}))
      return;
    send(From, To, [this, From, To, Serve, Settle] {
      if (auto Answer = Serve())
        send(To, From, [Settle, Answer] { Settle(Answer); });
    });
  }

private:
  struct event {
    node Owner;
    std::function<void()> Action;
  };
  std::map<std::pair<base::instant, std::uint64_t>, event> Queue;
  std::uint64_t LastEvent = 0;
};

} // namespace redwinggw::matrix
