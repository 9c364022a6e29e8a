#pragma once

#include "ibisdyke/core/error.h"
#include "ibisdyke/testing/loopback_range.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QFileInfo>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QProcess>
#include <QTemporaryDir>
#include <QTimer>

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ibisdyke::testing {

/// Runs control processes on loopback with data folders in a temporary folder, for tests and benchmarks. Needs a
/// QCoreApplication. The destructor kills all processes.
class control_cluster {
public:
    struct response {
        int status = 0;
        QJsonObject json;
    };

    /// Expects the programs in bin/ next to the folder of the running program.
    explicit control_cluster(int members)
        : members_(members)
        , processes_(static_cast<std::size_t>(members) + 1)
    {
    }

    static QString program(const QString& name)
    {
        return QFileInfo(QFileInfo("/proc/self/exe").symLinkTarget()).absolutePath() + "/../bin/" + name;
    }

    int members() const { return members_; }
    QString admin(int id) const { return endpoint(id, admin_port); }
    QString peer(int id) const { return endpoint(id, peer_port); }
    QString data(int id) const { return root_.path() + QString("/data%1").arg(id); }

    /// Sets extra arguments for processes that are started later.
    void set_arguments(const QStringList& arguments) { extra_arguments_ = arguments; }

    ~control_cluster()
    {
        for (auto& it : processes_) {
            if (it) {
                it->kill();
                it->waitForFinished();
            }
        }
        if (qEnvironmentVariableIsSet("IBISDYKE_KEEP_DATA"))
            root_.setAutoRemove(false);
    }
    control_cluster(const control_cluster&) = delete;
    control_cluster& operator=(const control_cluster&) = delete;
    control_cluster(control_cluster&&) = delete;
    control_cluster& operator=(control_cluster&&) = delete;

    /// Starts the process with the given id, counted from 1. Without peers, it waits to be added to the group.
    void start(int id, bool with_peers = true)
    {
        QStringList peers;
        for (int i = 1; with_peers && i <= members_; ++i)
            peers.append(QString("%1=%2").arg(i).arg(peer(i)));
        QStringList arguments{"--id", QString::number(id), "--name", QString("control-%1").arg(id), "--failure-domain",
            QString("zone-%1").arg(id), "--data", data(id), "--listen-peer", peer(id), "--listen-admin", admin(id),
            "--bootstrap-token", token()};
        if (with_peers)
            arguments += {"--peers", peers.join(',')};
        auto& it = processes_.at(index(id));
        it = std::make_unique<QProcess>();
        it->setStandardErrorFile(root_.path() + QString("/errors%1").arg(id), QIODevice::Append);
        it->setStandardOutputFile(root_.path() + QString("/log%1").arg(id), QIODevice::Append);
        it->start(program("control"), arguments + extra_arguments_);
        if (!it->waitForStarted())
            throw core::system_failure("cannot start " + program("control").toStdString());
    }

    void start_all()
    {
        for (int i = 1; i <= members_; ++i)
            start(i);
    }

    void signal(int id, int number) { ::kill(static_cast<pid_t>(process(id).processId()), number); }

    void kill(int id)
    {
        process(id).kill();
        process(id).waitForFinished();
    }

    /// Sends SIGTERM and returns the exit code, or -1 when the process has not ended in time.
    int stop(int id)
    {
        process(id).terminate();
        return process(id).waitForFinished(10'000) ? process(id).exitCode() : -1;
    }

    bool runs(int id) { return processes_.at(index(id)) && process(id).state() == QProcess::Running; }
    QProcess& process(int id) { return *processes_.at(index(id)); }

    static QString token() { return "test-token"; }

    /// Sends a request to one process. Status 0 means that the process did not answer within `limit_ms`.
    response send(
        int id, const QByteArray& method, const QString& path, const QJsonObject& body = {}, int limit_ms = 2000)
    {
        QNetworkRequest request(QUrl("http://" + admin(id) + path));
        request.setTransferTimeout(limit_ms);
        request.setRawHeader("Authorization", "Bearer " + token().toUtf8());
        request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
        const auto content = body.isEmpty() ? QByteArray{} : QJsonDocument(body).toJson(QJsonDocument::Compact);
        const std::unique_ptr<QNetworkReply> reply(network_.sendCustomRequest(request, method, content));
        QEventLoop loop;
        QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
        loop.exec();
        response result;
        result.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        result.json = QJsonDocument::fromJson(reply->readAll()).object();
        return result;
    }

    /// Returns the state dump of a process, or an empty object.
    QJsonObject state(int id) { return send(id, "GET", "/state", {}, 500).json; }

    /// Returns the id of the process that reports in its state dump that it leads and is current, or 0 if there is
    /// none.
    int leader()
    {
        for (int i = 1; i <= members_; ++i) {
            if (runs(i) && state(i)["replication"].toObject()["current"].toBool())
                return i;
        }
        return 0;
    }

    int wait_for_leader(int limit_ms = 10'000)
    {
        int found = 0;
        wait_until([&] { return (found = leader()) != 0; }, limit_ms);
        return found;
    }

    /// Sends a request to the processes in turn until one answers with a final status.
    response send_to_leader(
        const QByteArray& method, const QString& path, const QJsonObject& body = {}, int limit_ms = 10'000)
    {
        constexpr int misdirected = 421;
        constexpr int unavailable = 503;
        response last;
        wait_until(
            [&] {
                for (int i = 1; i <= members_; ++i) {
                    if (!runs(i))
                        continue;
                    last = send(i, method, path, body, 1000);
                    if (last.status != 0 && last.status != misdirected && last.status != unavailable)
                        return true;
                }
                return false;
            },
            limit_ms);
        return last;
    }

    static QJsonObject profile_command(const QString& name, int based_on, const QString& command_id, int queue = 2)
    {
        return {{"document", QJsonObject{{"name", name}, {"queue_per_slot", queue}}}, {"based_on", based_on},
            {"command_id", command_id}};
    }

    response put_profile(const QString& name, int based_on, const QString& command_id, int queue = 2)
    {
        return send_to_leader("PUT", "/v1/profiles/" + name, profile_command(name, based_on, command_id, queue));
    }

    /// Runs ibisdykectl and returns its exit code.
    int ctl(const QStringList& arguments, QString* output = nullptr) const
    {
        QStringList admins;
        for (int i = 1; i <= members_; ++i)
            admins.append(admin(i));
        QProcess process;
        process.setProcessChannelMode(QProcess::MergedChannels);
        process.start(program("ibisdykectl"), QStringList{"--admin", admins.join(','), "--token", token()} + arguments);
        process.waitForFinished();
        if (output != nullptr)
            *output = process.readAll();
        return process.exitCode();
    }

    /// Writes a JSON file into the temporary folder and returns its path.
    QString write_file(const QString& name, const QJsonObject& content)
    {
        QFile file(root_.path() + "/" + name);
        file.open(QIODevice::WriteOnly);
        file.write(QJsonDocument(content).toJson());
        return file.fileName();
    }

    static bool wait_until(const std::function<bool()>& condition, int limit_ms)
    {
        QElapsedTimer timer;
        timer.start();
        while (!condition()) {
            if (timer.elapsed() > limit_ms)
                return false;
            QEventLoop loop;
            QTimer::singleShot(10, &loop, &QEventLoop::quit);
            loop.exec();
        }
        return true;
    }

private:
    static constexpr quint16 peer_port = 7003;
    static constexpr quint16 admin_port = 7004;

    static std::size_t index(int id) { return static_cast<std::size_t>(id - 1); }

    QString endpoint(int id, quint16 port) const
    {
        return QString::fromStdString(to_string(addresses_.endpoint(static_cast<std::uint32_t>(id), port)));
    }

    int members_;
    loopback_range addresses_;
    QTemporaryDir root_;
    QNetworkAccessManager network_;
    std::vector<std::unique_ptr<QProcess>> processes_;
    QStringList extra_arguments_;
};

} // namespace ibisdyke::testing
