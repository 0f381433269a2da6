// Small helpers for HTTP stand-ins.
export async function readBody(message) {
  const parts = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
}

export function sendJson(response, status, content, headers = {}) {
  if (response.destroyed) return;
  const body = JSON.stringify(content);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** Resolves with `host:port`. */
export function listen(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(`${host}:${server.address().port}`));
  });
}

export function closeServer(server) {
  server.closeAllConnections?.();
  return new Promise((resolve) => server.close(() => resolve()));
}
