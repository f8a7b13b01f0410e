#pragma once

#include "redwinggw/http/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <vector>

namespace redwinggw::fleet {

/// The answer to one statement.
struct line_answer {
  std::vector<std::string> Rows;
  /// Text of the DONE line after the word; empty after an error.
  std::string Signature;
  /// Error code; "closed" when the connection ended.
  std::string Error;
  std::string State;
};

/// A blocking client of the users' line protocol. Used from one thread.
class line_client {
public:
  /// Connects and starts a session; failed() is the error code or empty.
  line_client(const http::address &Address, const std::string &Database,
              const std::string &Key);

  const std::string &failed() const { return Failed; }

  line_answer run(const std::string &Text);
  /// The id of the last statement of run().
  const std::string &statementId() const { return StatementId; }
  /// Sends bytes unchanged and reads one answer.
  line_answer send(const std::string &Bytes);

private:
  std::optional<std::string> readLine();
  line_answer readAnswer();

  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket;
  std::string Buffer;
  std::string Failed;
  std::string StatementId;
};

} // namespace redwinggw::fleet
