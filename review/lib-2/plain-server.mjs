/** Stand-in of a sound plain server, which answers each request after a short while. */
import { createServer } from 'node:http';

const HOST = '127.0.0.1';
const WORK_MS = 21;

/** Starts a server; `onRun` is told of each run. */
export async function startPlainServer(id, onRun) {
  const server = createServer((request, response) => {
    request.resume();
    const attempt = String(request.headers['x-cassiamast-attempt-id'] ?? '');
    if (request.headers['x-cassiamast-expect-instance'] !== id) {
      response.writeHead(421, { 'X-Cassiamast-Attempt-Id': attempt });
      response.end();
      return;
    }
    request.once('end', () => {
      onRun(attempt);
      setTimeout(() => {
        response.writeHead(200, {
          'X-Cassiamast-Attempt-Id': attempt,
          'X-Cassiamast-Server-Stamp': `${id}.${attempt}`,
        });
        response.end(`answer to ${attempt}`);
      }, WORK_MS);
    });
  });
  await new Promise((resolve) => server.listen(0, HOST, resolve));
  return {
    address: `${HOST}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
