#pragma once

#include "redwinggw/session/slot_grant.hpp"

#include <utility>

namespace redwinggw::session {

/// A connection checked out of its pool. One that is not released explicitly
/// is closed, since its state is not known.
struct checked_out_link {
  checked_out_link() = default;
  checked_out_link(pool_ptr Pool, link_handle Link)
      : Pool(std::move(Pool)), Link(std::move(Link)) {}
  checked_out_link(checked_out_link &&) noexcept = default;
  checked_out_link &operator=(checked_out_link &&Other) noexcept {
    std::swap(Pool, Other.Pool);
    std::swap(Link, Other.Link);
    std::swap(Grant, Other.Grant);
    return *this;
  }
  ~checked_out_link() {
    if (Link)
      Pool->discard(std::move(Link));
  }

  void release() { Pool->release(std::move(Link)); }
  explicit operator bool() const { return Link != nullptr; }

  pool_ptr Pool;
  link_handle Link;
  /// The slot, held while a statement runs; a transaction releases it between
  /// its statements.
  slot_grant Grant;
};

} // namespace redwinggw::session
