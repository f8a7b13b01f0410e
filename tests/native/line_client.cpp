#include "line_client.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>

namespace redwinggw::fleet {
namespace {

namespace asio = boost::asio;

std::atomic<unsigned> LastId{0};

} // namespace

line_client::line_client(const http::address &Address,
                         const std::string &Database, const std::string &Key)
    : Socket(Context) {
  boost::system::error_code Error;
  Socket.connect({asio::ip::make_address(Address.Host), Address.Port}, Error);
  const line_answer Answer = send("START " + Database + " " + Key + "\r\n");
  Failed = Error ? "closed" : Answer.Error;
}

std::optional<std::string> line_client::readLine() {
  boost::system::error_code Error;
  const std::size_t Size =
      asio::read_until(Socket, asio::dynamic_buffer(Buffer), "\r\n", Error);
  if (Error)
    return std::nullopt;
  std::string Line = Buffer.substr(0, Size - 2);
  Buffer.erase(0, Size);
  return Line;
}

line_answer line_client::readAnswer() {
  line_answer Answer;
  while (const auto Line = readLine()) {
    const std::size_t Space = Line->find(' ');
    const std::string Word = Line->substr(0, Space);
    const std::string Rest = Line->substr(Space + 1);
    if (Word == "ROW")
      Answer.Rows.push_back(Rest);
    if (Word == "DONE")
      Answer.Signature = Rest;
    if (Word == "ERROR")
      Answer.Error = Rest.substr(0, Rest.find(' '));
    if (Word != "READY")
      continue;
    Answer.State = Rest.substr(0, 1);
    return Answer;
  }
  if (Answer.Error.empty())
    Answer.Error = "closed";
  return Answer;
}

line_answer line_client::send(const std::string &Bytes) {
  boost::system::error_code Ignored;
  asio::write(Socket, asio::buffer(Bytes), Ignored);
  return readAnswer();
}

line_answer line_client::run(const std::string &Text) {
  StatementId = "q" + std::to_string(++LastId);
  return send("QUERY " + StatementId + " " + Text + "\r\n");
}

} // namespace redwinggw::fleet
