#ifndef TREFOILBEND_PLATFORM_CLIENT_H_
#define TREFOILBEND_PLATFORM_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "trefoilbend/http/client.h"
#include "trefoilbend/platform/messages.h"
#include "trefoilbend/platform/store.h"

namespace trefoilbend::platform {

/** @brief Client of the platform's table, object store and list of instances.
 */
class Client final : public Store {
 public:
  /**
   * @brief Makes a client.
   * @param http Client that carries the requests.
   * @param address Address of the platform.
   * @param timeout Longest wait for one answer.
   */
  Client(std::shared_ptr<http::Client> http, http::Address address,
         std::chrono::milliseconds timeout);

  void Transact(const Transaction& transaction,
                std::function<void(TransactOutcome)> done) override;

  void Read(const std::string& key,
            std::function<void(ReadOutcome)> done) override;

  /**
   * @brief Reads rows whose keys begin with a prefix, in the order of their
   * keys.
   * @param prefix Beginning of the keys.
   * @param after Key after which to begin; empty for the first.
   * @param limit Greatest number of rows.
   * @param done Takes the result.
   */
  void ReadRange(const std::string& prefix, const std::string& after,
                 std::size_t limit, std::function<void(RangeOutcome)> done);

  /**
   * @brief Reads an object of the object store.
   * @param name Name of the object.
   * @param done Takes the result.
   */
  void ReadObject(const std::string& name,
                  std::function<void(ObjectOutcome)> done);

  /**
   * @brief Writes an object of the object store; no result is needed, since
   * objects only shorten a start.
   * @param name Name of the object.
   * @param text Content of the object.
   */
  void WriteObject(const std::string& name, std::string text);

  /**
   * @brief Reads the list of instances, which may lag, if it has changed since
   * this client read it last (If-None-Match, RFC 9110, section 13.1.2).
   * @param done Takes the result.
   */
  void ListInstances(std::function<void(ListOutcome)> done);

 private:
  std::shared_ptr<http::Client> http;
  http::Address address;
  std::chrono::milliseconds timeout;
  std::shared_ptr<std::string> list_tag = std::make_shared<std::string>();
};

}  // namespace trefoilbend::platform

#endif  // TREFOILBEND_PLATFORM_CLIENT_H_
