#include "redwinggw/storage/store.hpp"

#include <utility>

namespace redwinggw::storage {

base::task<base::result<std::vector<row>>> get(store &Store,
                                               std::vector<std::string> Keys) {
  ++Store.Reads;
  return Store.Driver->Get(Store, std::move(Keys));
}

base::task<base::result<std::vector<row>>> scan(store &Store,
                                                std::string Prefix) {
  ++Store.Reads;
  return Store.Driver->Scan(Store, std::move(Prefix));
}

base::task<base::result<std::vector<std::uint64_t>>>
commit(store &Store, commit_request Request) {
  ++Store.Writes;
  return Store.Driver->Commit(Store, std::move(Request));
}

base::task<base::result<void>> putObject(store &Store, std::string Name,
                                         std::string Content) {
  ++Store.Writes;
  return Store.Driver->PutObject(Store, std::move(Name), std::move(Content));
}

base::task<base::result<std::string>> getObject(store &Store,
                                                std::string Name) {
  ++Store.Reads;
  return Store.Driver->GetObject(Store, std::move(Name));
}

base::task<base::result<std::vector<listed_instance>>>
listInstances(store &Store) {
  ++Store.Reads;
  return Store.Driver->ListInstances(Store);
}

} // namespace redwinggw::storage
