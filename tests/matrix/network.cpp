#include "network.hpp"

namespace redwinggw::matrix {

bool network::isUp(const node &Node) const {
  const auto Paused = PausedUntil.find(Node);
  return !Killed.contains(Node) &&
         (Paused == PausedUntil.end() || Paused->second <= Now);
}

void network::after(base::microseconds Wait, const node &Owner,
                    std::function<void()> Action) {
  Queue.emplace(std::pair(Now + Wait, ++LastEvent),
                event{Owner, std::move(Action)});
}

void network::send(const node &From, const node &To,
                   std::function<void()> Deliver) {
  const int Copies = Duplicates && pick(4) == 0 ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    const base::microseconds Wait(300 + pick(Delay.count()));
    after(Wait, To, [this, From, To, Deliver] {
      if (!Cuts.contains({From, To}))
        Deliver();
    });
  }
}

void network::runUntil(base::instant End) {
  while (!Queue.empty() && Queue.begin()->first.first <= End) {
    auto Next = Queue.extract(Queue.begin());
    Now = Next.key().first;
    event &Event = Next.mapped();
    if (Killed.contains(Event.Owner))
      continue;
    if (isUp(Event.Owner)) {
      Event.Action();
      continue;
    }
    Next.key().first = PausedUntil.at(Event.Owner);
    Queue.insert(std::move(Next));
  }
  Now = End;
}

} // namespace redwinggw::matrix
